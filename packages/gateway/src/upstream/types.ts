/** One exchange with a target, as the gateway sees it. */

/** The head of a target's answer. */
export interface ResponseHead {
  readonly status: number;
  readonly statusText: string;
  /** Names and values by turns, as they came. */
  readonly rawHeaders: readonly string[];
  /** Names in lower case; of a repeated header the last value. */
  readonly headers: ReadonlyMap<string, string>;
  /** Whether it ends with its connection, with no length of its own. */
  readonly endsWithConnection: boolean;
}

export type UpstreamError =
  /** No connection came about: nothing was sent. */
  | {readonly kind: 'not_connected'; readonly reason: string}
  /** The connection broke after bytes may have left. */
  | {readonly kind: 'broken'; readonly reason: string}
  /** What came back is no answer in the protocol. */
  | {readonly kind: 'malformed'; readonly reason: string};

export interface ResponseHandlers {
  /** Whether an answer belongs to this request; others are skipped. */
  isForRequest(head: ResponseHead): boolean;
  onHead(head: ResponseHead): void;
  onData(data: Buffer): void;
  onEnd(): void;
  onError(error: UpstreamError): void;
}

export interface UpstreamAddress {
  readonly host: string;
  readonly port: number;
}

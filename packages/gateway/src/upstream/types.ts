/** Types of one request to a target and its response. */

/** The head of a target's response. */
export interface ResponseHead {
  readonly status: number;
  readonly statusText: string;
  /** Names and values alternate, as they were received. */
  readonly rawHeaders: readonly string[];
  /** By name in lower case; a repeated header has its last value. */
  readonly headers: ReadonlyMap<string, string>;
  /** Whether the body has no framing and ends with the connection. */
  readonly endsWithConnection: boolean;
}

export type UpstreamError =
  /** The connection failed, so nothing was sent. */
  | {readonly kind: 'not_connected'; readonly reason: string}
  /** The connection broke after bytes may have been sent. */
  | {readonly kind: 'broken'; readonly reason: string}
  /** The received bytes are not a valid response. */
  | {readonly kind: 'malformed'; readonly reason: string};

export interface ResponseHandlers {
  /**
   * Whether a response belongs to this request; other responses are skipped.
   */
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

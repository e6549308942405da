/**
 * Sends a request to one peer and forwards the peer's response to the caller.
 * Every hop has a connection of its own: that it opens shows that the peer can
 * be reached, and that it breaks concerns no other request.
 */
import type {ServerResponse} from 'node:http';
import {UpstreamConnection, type ResponseHead} from '../upstream/index.js';
import {hasOlderState, isRefused, withoutHop} from './relay-protocol.js';
import type {RelayPeer} from './relay-types.js';
import {ResponseSink} from './response-sink.js';
import type {GatewayProtocol} from './types.js';

/** `older_state`: the peer will be able to serve as soon as it has caught up. */
export type RelayFailure = 'refused' | 'older_state' | 'failed';

export type RelayResult =
  /** The complete response of the peer was forwarded to the caller. */
  | {readonly kind: 'passed_on'; readonly status: number}
  /** The peer did not run the request, or could not be reached. */
  | {
      readonly kind: 'not_run';
      readonly failure: RelayFailure;
      readonly reason: string;
    }
  /** The peer may have run the request, and its response is lost. */
  | {
      readonly kind: 'lost';
      readonly reason: string;
      /** Whether the caller was sent a part of the response. */
      readonly hasStarted: boolean;
    }
  /** The hop was cancelled. */
  | {readonly kind: 'ended'};

export interface RelayAttemptOptions {
  readonly peer: RelayPeer;
  readonly connectTimeoutMs: number;
  readonly relayId: string;
  /** Serializes the request; called when it is sent. */
  readonly writeRequest: () => Buffer;
  readonly res: ServerResponse;
  readonly protocol: GatewayProtocol;
  readonly attemptId: string | undefined;
  readonly isStreamed: boolean;
  /** The caller has the events of its resumable stream up to this one. */
  readonly callerLastEventId: number | undefined;
  /** Called once if the peer sends nothing for a while after the request. */
  readonly onSilent: () => void;
  /** Called once if a silent peer sends something after all. */
  readonly onSign: () => void;
}

const FIRST_SUCCESS_STATUS = 200;
const FIRST_REDIRECT_STATUS = 300;
/**
 * A peer that runs has sent something after this time; one of an earlier build
 * sends nothing before the response.
 */
const SIGN_TIMEOUT_MS = 250;

function isSuccess(status: number): boolean {
  return status >= FIRST_SUCCESS_STATUS && status < FIRST_REDIRECT_STATUS;
}

export class RelayAttempt {
  readonly result: Promise<RelayResult>;
  /** Whether the peer may have received the request. */
  isSent = false;
  /** Whether the peer has been sending nothing for a while. */
  isSilent = false;
  private connection: UpstreamConnection | undefined;
  private sink: ResponseSink | undefined;
  private refusal: Exclude<RelayFailure, 'failed'> | undefined;
  private signTimer: NodeJS.Timeout | undefined;
  private isEnded = false;
  private settle: (result: RelayResult) => void = () => undefined;
  private readonly onDrain = () => this.connection?.resume();

  constructor(private readonly options: RelayAttemptOptions) {
    this.result = new Promise(resolve => (this.settle = resolve));
    void this.start();
  }

  /** When the head of the response was sent to the caller. */
  get headSentAtMs(): number | undefined {
    return this.sink?.headSentAtMs;
  }

  /** Closes the connection, so that the peer cancels the request. */
  cancel(): void {
    this.finish({kind: 'ended'});
  }

  private async start(): Promise<void> {
    const {peer, connectTimeoutMs} = this.options;
    const connection = await UpstreamConnection.open(peer, connectTimeoutMs, {
      onIdle: idle => idle.destroy(),
      onClosed: () => undefined,
      onReceived: () => this.noteSign(),
    });
    if (connection === undefined) {
      const reason = 'the peer cannot be reached';
      this.finish({kind: 'not_run', failure: 'failed', reason});
      return;
    }
    if (this.isEnded) {
      connection.destroy();
      return;
    }
    this.send(connection);
  }

  private send(connection: UpstreamConnection): void {
    const {res, writeRequest} = this.options;
    this.connection = connection;
    this.isSent = true;
    this.signTimer = setTimeout(() => this.noteSilence(), SIGN_TIMEOUT_MS);
    res.on('drain', this.onDrain);
    connection.send(writeRequest(), {
      isForRequest: head => this.isForRequest(head),
      onHead: head => this.onHead(head),
      onData: data => this.onData(data),
      onEnd: () => this.onEnd(),
      onError: error => this.lose(error.reason),
    });
  }

  private noteSilence(): void {
    this.isSilent = true;
    this.options.onSilent();
  }

  private noteSign(): void {
    clearTimeout(this.signTimer);
    if (!this.isSilent) return;
    this.isSilent = false;
    this.options.onSign();
  }

  private isForRequest(head: ResponseHead): boolean {
    const {protocol, attemptId} = this.options;
    const answeredAttemptId = protocol.readResponse(head).attemptId;
    return answeredAttemptId === undefined || answeredAttemptId === attemptId;
  }

  private onHead(head: ResponseHead): void {
    const {relayId, res, protocol, isStreamed, callerLastEventId} =
      this.options;
    if (isRefused(head, relayId)) {
      this.refusal = hasOlderState(head, relayId) ? 'older_state' : 'refused';
      return;
    }
    if (head.endsWithConnection) {
      this.lose('a response of the peer without framing');
      return;
    }
    if (isSuccess(head.status) && !protocol.readResponse(head).isSigned) {
      this.lose('a success response without a signature');
      return;
    }
    this.sink = new ResponseSink(
      res,
      withoutHop(head, relayId),
      isStreamed && isSuccess(head.status),
      () => this.connection?.pause(),
    );
    if (callerLastEventId !== undefined)
      this.sink.events?.startAfter(callerLastEventId);
  }

  private onData(data: Buffer): void {
    const fault = this.sink?.push(data);
    if (fault) this.lose(`${fault} in the body`);
  }

  private onEnd(): void {
    if (this.isEnded) return;
    if (this.refusal) {
      const reason = 'the peer cannot serve the request';
      this.finish({kind: 'not_run', failure: this.refusal, reason});
      return;
    }
    this.sink!.end();
    this.finish({kind: 'passed_on', status: this.sink!.status});
  }

  private lose(reason: string): void {
    const hasStarted = this.sink?.hasStarted ?? false;
    this.finish({kind: 'lost', reason, hasStarted});
  }

  private finish(result: RelayResult): void {
    if (this.isEnded) return;
    this.isEnded = true;
    clearTimeout(this.signTimer);
    this.options.res.off('drain', this.onDrain);
    this.connection?.destroy();
    this.settle(result);
  }
}

/**
 * One connection to a target, with one request at a time. A failure to connect
 * is kept apart from a later failure, because a request counts as not run only
 * if none of its bytes can have been sent.
 */
import type {Socket} from 'node:net';
import {noteReceived} from '@samphirefield/core';
import {openSocket, type ConnectOutcome} from './connect.js';
import {createResponseParser, type ResponseParser} from './parser.js';
import type {
  ResponseHandlers,
  ResponseHead,
  UpstreamAddress,
  UpstreamError,
} from './types.js';
import {UnservedRequests} from './unserved-requests.js';

/** An idle connection is closed this long before the target would close it. */
const IDLE_MARGIN_MS = 700;
const DEFAULT_IDLE_MS = 4_000;
const MS_PER_S = 1_000;
const KEEP_ALIVE_PROBE_DELAY_MS = 1_000;
/**
 * Bytes that are no body of the expected response: heads, interim responses,
 * chunk framing, responses to other requests. A target in trouble may send them
 * without end.
 */
const MAX_OVERHEAD_BYTES = 131_072;
/** Time in which a head that has begun must be complete. */
const MAX_HEAD_MS = 2_000;

const HEAD_METHOD = 'HEAD ';

export interface ConnectionEvents {
  onIdle(connection: UpstreamConnection): void;
  onClosed(connection: UpstreamConnection): void;
  onReceived(): void;
}

function isHeadRequest(data: Buffer | string): boolean {
  const start = data.slice(0, HEAD_METHOD.length);
  return start.toString() === HEAD_METHOD;
}

export class UpstreamConnection {
  isClosed = false;
  /**
   * Until when an idle connection is usable, on the clock of `performance.now`.
   */
  idleUntilMs = 0;
  /** Names the connection in logs, also beside those of its target. */
  readonly localPort: number | undefined;
  private handlers: ResponseHandlers | undefined;
  private head: ResponseHead | undefined;
  private isMatchingResponse = false;
  private isHeadRequest = false;
  private isKeptAlive = true;
  private hasData = false;
  /** Bytes received since the last byte of the expected body. */
  private overheadBytes = 0;
  private headTimer: NodeJS.Timeout | undefined;
  private readonly unserved = new UnservedRequests();
  private readonly parser: ResponseParser;

  private constructor(
    private readonly socket: Socket,
    private readonly events: ConnectionEvents,
  ) {
    const parserEvents = {
      onHead: (head: ResponseHead, isKeptAlive: boolean) =>
        this.onHead(head, isKeptAlive),
      onData: (data: Buffer) => this.onBody(data),
      onEnd: () => this.onResponseEnd(),
    };
    this.parser = createResponseParser(parserEvents, () => this.isHeadRequest);
    this.localPort = socket.localPort;
    socket.setNoDelay(true);
    socket.setKeepAlive(true, KEEP_ALIVE_PROBE_DELAY_MS);
    socket.on('data', data => this.onSocketData(data));
    socket.on('end', () => this.onSocketEnd());
    socket.on('error', error =>
      this.fail({kind: 'broken', reason: error.message}),
    );
    socket.on('close', () => this.fail({kind: 'broken', reason: 'closed'}));
  }

  /** Resolves with undefined when the connection failed or timed out. */
  static open(
    address: UpstreamAddress,
    timeoutMs: number,
    events: ConnectionEvents,
    onConnect?: (outcome: ConnectOutcome) => void,
  ): Promise<UpstreamConnection | undefined> {
    return new Promise(resolve =>
      openSocket(address, timeoutMs, (outcome, socket) => {
        onConnect?.(outcome);
        resolve(socket && new UpstreamConnection(socket, events));
      }),
    );
  }

  send(data: Buffer | string, handlers: ResponseHandlers): void {
    this.handlers = handlers;
    this.head = undefined;
    this.hasData = false;
    this.isHeadRequest = isHeadRequest(data);
    this.overheadBytes = 0;
    this.socket.write(data);
  }

  /** False for a request that was refused or failed on this connection. */
  mayCarry(attemptId: string | undefined): boolean {
    return !this.unserved.has(attemptId);
  }

  /** Keeps a request that was refused or failed from using this connection. */
  noteUnserved(attemptId: string | undefined): void {
    this.unserved.add(attemptId);
    if (this.unserved.isFull) this.close();
  }

  /** Stops reading until {@link resume} or the end of the response. */
  pause(): void {
    if (this.handlers !== undefined) this.socket.pause();
  }

  resume(): void {
    this.socket.resume();
  }

  /** Closes the connection to the target; its handlers are not called. */
  destroy(): void {
    this.handlers = undefined;
    this.close();
  }

  private onBody(data: Buffer): void {
    if (!this.isMatchingResponse) return;
    this.overheadBytes = 0;
    this.handlers?.onData(data);
  }

  private onHead(head: ResponseHead, isKeptAlive: boolean): void {
    this.head = head;
    this.isKeptAlive = isKeptAlive;
    this.isMatchingResponse = this.handlers?.isForRequest(head) ?? false;
    if (this.isMatchingResponse) this.handlers?.onHead(head);
  }

  private onResponseEnd(): void {
    if (!this.isMatchingResponse) return;
    const {handlers} = this;
    this.handlers = undefined;
    this.isMatchingResponse = false;
    this.stopHeadTimer();
    const isBodySent = this.socket.writableLength === 0;
    const mayKeep =
      this.isKeptAlive && isBodySent && !this.parser.hasTrailingBytes();
    if (mayKeep) this.becomeIdle();
    else this.close();
    handlers?.onEnd();
  }

  private becomeIdle(): void {
    const timeout = /timeout=(\d+)/.exec(
      this.head?.headers.get('keep-alive') ?? '',
    );
    const idleMs = timeout ? Number(timeout[1]) * MS_PER_S : DEFAULT_IDLE_MS;
    this.idleUntilMs = performance.now() + idleMs - IDLE_MARGIN_MS;
    if (idleMs <= IDLE_MARGIN_MS) {
      this.close();
      return;
    }
    this.socket.resume();
    this.events.onIdle(this);
  }

  private onSocketData(data: Buffer): void {
    if (this.handlers === undefined) {
      // Unexpected bytes would be read as the response to the next request.
      this.close();
      return;
    }
    noteReceived(data.length);
    this.events.onReceived();
    this.hasData = true;
    this.overheadBytes += data.length;
    const reason = this.parse(() => this.parser.execute(data));
    if (reason !== undefined) this.fail({kind: 'malformed', reason});
    else this.limitOverhead();
  }

  /**
   * Returns the reason if the response cannot be used. What a target sends must
   * end no request but its own, also where its handling fails.
   */
  private parse(run: () => string | undefined): string | undefined {
    const {handlers} = this;
    try {
      return run();
    } catch (error) {
      // The end of the response may have been handled already.
      this.handlers ??= handlers;
      return `the response could not be handled: ${(error as Error).message}`;
    }
  }

  /** Fails on endless bytes that are no body, and on a head without an end. */
  private limitOverhead(): void {
    if (this.handlers === undefined) return;
    if (this.overheadBytes > MAX_OVERHEAD_BYTES) {
      this.fail({kind: 'malformed', reason: 'endless bytes without a body'});
      return;
    }
    if (!this.parser.isInHead()) {
      this.stopHeadTimer();
      return;
    }
    this.headTimer ??= setTimeout(() => {
      this.fail({kind: 'malformed', reason: 'the head did not end in time'});
    }, MAX_HEAD_MS);
  }

  private stopHeadTimer(): void {
    clearTimeout(this.headTimer);
    this.headTimer = undefined;
  }

  private onSocketEnd(): void {
    const endsHere = this.head?.endsWithConnection && this.isMatchingResponse;
    if (endsHere && !this.isReset()) {
      this.isKeptAlive = false;
      const reason = this.parse(() => this.parser.finish());
      if (reason !== undefined) this.fail({kind: 'malformed', reason});
    }
    this.fail({
      kind: 'broken',
      reason: this.hasData
        ? 'connection ended before the end of the response'
        : 'connection ended without a response',
    });
  }

  /**
   * libuv reports a reset as an end if it comes with the last bytes. After a
   * reset, unlike after an end, a connection has no peer any more.
   */
  private isReset(): boolean {
    return this.socket.remoteAddress === undefined;
  }

  private fail(error: UpstreamError): void {
    const {handlers} = this;
    this.handlers = undefined;
    this.close();
    handlers?.onError(error);
  }

  private close(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.stopHeadTimer();
    this.socket.destroy();
    this.events.onClosed(this);
  }
}

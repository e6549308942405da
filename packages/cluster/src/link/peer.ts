/**
 * One connection between two daemons: JSON-RPC in both directions, one message
 * per line.
 *
 * The side that opened the connection sends keepalives, which the other side
 * returns. Each side closes the connection after receiving nothing for a while,
 * so a connection that went silent is replaced by a new one. One timer serves
 * all connections of the process.
 */
import type {Socket} from 'node:net';
import {ByteCollector} from '@samphirefield/core';
import {
  JSONRPCClient,
  JSONRPCServer,
  JSONRPCServerAndClient,
} from 'json-rpc-2.0';
import {
  DEFLATED_FROM_CHARS,
  deflateLine,
  inflateLine,
  type DeflatedLine,
} from './lines.js';

const CHECK_EVERY_MS = 500;
/** Silence after which the side that accepted a connection closes it. */
const ACCEPTED_MAX_SILENCE_MS = 2_500;
/** A keepalive is not returned when other data was sent this recently. */
const RECENTLY_SENT_MS = 100;
/** A peer that reads too slowly is disconnected instead of buffering more. */
const MAX_UNSENT_BYTES = 33_554_432;
const MAX_LINE_BYTES = 33_554_432;
/** Longest line of somebody who opened a connection and sent no message yet. */
const MAX_FIRST_LINE_BYTES = 65_536;
/** The same of a daemon to which this one opened the connection. */
const MAX_FIRST_ANSWER_BYTES = 4_194_304;
/** What this build reads beside the messages that all builds read. */
interface Features {
  readonly readsDeflated: boolean;
}

const FEATURES: Features = {readsDeflated: true};
const KEEPALIVE_LINE = '\n';
const FEATURES_TIMEOUT_MS = 2_000;

/** How the side that opened a connection finds out that it went silent. */
export interface KeepaliveTiming {
  /** Pause in either direction after which a keepalive is sent. */
  readonly everyMs: number;
  readonly maxSilenceMs: number;
}

export const PROMPT_KEEPALIVE: KeepaliveTiming = {
  everyMs: 500,
  maxSilenceMs: 1_500,
};
/** For connections of which there are several for the same purpose. */
export const RELAXED_KEEPALIVE: KeepaliveTiming = {
  everyMs: 1_000,
  maxSilenceMs: 2_500,
};

const openPeers = new Set<Peer>();
let checkTimer: NodeJS.Timeout | undefined;

function watchPeer(peer: Peer): void {
  openPeers.add(peer);
  checkTimer ??= setInterval(() => {
    const nowMs = performance.now();
    for (const open of [...openPeers]) open.checkLiveness(nowMs);
  }, CHECK_EVERY_MS);
}

function unwatchPeer(peer: Peer): void {
  openPeers.delete(peer);
  if (openPeers.size > 0) return;
  clearInterval(checkTimer);
  checkTimer = undefined;
}

export type RpcHandlers = Readonly<
  Record<string, (params: never, peer: Peer) => unknown>
>;

/** Why a connection was closed by this side; `ended`: it was not. */
export type CloseReason =
  | 'ended'
  | 'closed'
  | 'silent'
  | 'line_too_long'
  | 'reads_too_slowly'
  | 'invalid';

export class Peer {
  private readonly rpc: JSONRPCServerAndClient;
  private lastReceivedAtMs = performance.now();
  private lastSentAtMs = Number.NEGATIVE_INFINITY;
  private openRequests = 0;
  private readonly partial = new ByteCollector();
  private hasValidMessage = false;
  isClosed = false;
  closeReason: CloseReason | undefined;
  /** Undefined on the side that accepted the connection. */
  keepalive: KeepaliveTiming | undefined;
  /** Whether the remote side reads deflated lines; see {@link askFeatures}. */
  private readsDeflated = false;
  /** Label for the remote side; set and read by the owner only. */
  tag: string | undefined;

  constructor(
    private readonly socket: Socket,
    handlers: RpcHandlers,
    private readonly onClosed: (peer: Peer) => void,
    keepalive?: KeepaliveTiming,
  ) {
    this.keepalive = keepalive;
    const server = new JSONRPCServer({errorListener: () => undefined});
    server.addMethod('features', () => FEATURES);
    server.addMethod('deflated', (part: DeflatedLine) => this.onDeflated(part));
    for (const [name, handle] of Object.entries(handlers)) {
      server.addMethod(name, params => handle(params as never, this));
    }
    this.rpc = new JSONRPCServerAndClient(
      server,
      new JSONRPCClient(message => this.write(JSON.stringify(message) + '\n')),
      {errorListener: () => undefined},
    );
    socket.setNoDelay(true);
    socket.on('data', data => this.onData(data));
    socket.on('error', () => this.close('ended'));
    socket.on('close', () => this.close('ended'));
    watchPeer(this);
  }

  /**
   * Rejects on an error response, after `timeoutMs` without one, and when the
   * connection closes.
   */
  async request<T>(
    method: string,
    params: object,
    timeoutMs: number,
  ): Promise<T> {
    this.openRequests += 1;
    try {
      return (await this.rpc.timeout(timeoutMs).request(method, params)) as T;
    } finally {
      this.openRequests -= 1;
    }
  }

  /** Number of requests that wait for their response. */
  get openRequestCount(): number {
    return this.openRequests;
  }

  /** Time since any data was received. */
  get silentMs(): number {
    return performance.now() - this.lastReceivedAtMs;
  }

  notify(method: string, params: object): void {
    if (!this.isClosed) this.rpc.notify(method, params);
  }

  /** Learns what the remote side reads; earlier builds know no features. */
  async askFeatures(): Promise<void> {
    try {
      const {readsDeflated} = await this.request<Features>(
        'features',
        {},
        FEATURES_TIMEOUT_MS,
      );
      this.readsDeflated = readsDeflated;
    } catch {
      this.readsDeflated = false;
    }
  }

  /** Sends a line made by {@link serializeNotification}. */
  notifyLine(line: string): void {
    if (this.isClosed) return;
    const isDeflated = this.readsDeflated && line.length >= DEFLATED_FROM_CHARS;
    this.write(isDeflated ? deflateLine(line) : line);
  }

  /**
   * Sends lines one by one, each once the ones before have left, so that a
   * large table never stands before other messages.
   */
  async notifyLines(lines: Iterable<string>): Promise<void> {
    for (const line of lines) {
      if (this.isClosed) return;
      this.write(line);
      await this.untilSent();
    }
  }

  close(reason: CloseReason = 'closed'): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.closeReason = reason;
    unwatchPeer(this);
    this.socket.destroy();
    this.rpc.rejectAllPendingRequests('the connection closed');
    this.onClosed(this);
  }

  private write(text: string): void {
    if (this.isClosed) throw new Error('the connection closed');
    this.socket.write(text);
    this.lastSentAtMs = performance.now();
    if (this.socket.writableLength > MAX_UNSENT_BYTES)
      this.close('reads_too_slowly');
  }

  /** Resolves once all that was written has left, or the connection closed. */
  private untilSent(): Promise<void> {
    const {socket} = this;
    return new Promise(resolve => {
      if (socket.writableLength === 0 || this.isClosed) {
        setImmediate(resolve);
        return;
      }
      const done = () => {
        socket.off('close', done);
        resolve();
      };
      // An empty write ends when the ones before have left.
      socket.write('', done);
      socket.on('close', done);
    });
  }

  /** Closes a silent connection; sends a keepalive on a quiet one. */
  checkLiveness(nowMs: number): void {
    const {keepalive} = this;
    const maxSilenceMs = keepalive?.maxSilenceMs ?? ACCEPTED_MAX_SILENCE_MS;
    if (nowMs - this.lastReceivedAtMs > maxSilenceMs) {
      this.close('silent');
      return;
    }
    if (keepalive === undefined) return;
    const quietSinceMs = Math.min(this.lastReceivedAtMs, this.lastSentAtMs);
    const isDue = nowMs - quietSinceMs > keepalive.everyMs - CHECK_EVERY_MS / 2;
    if (isDue) this.sendKeepalive();
  }

  private sendKeepalive(): void {
    this.socket.write(KEEPALIVE_LINE);
    this.lastSentAtMs = performance.now();
  }

  private returnKeepalive(): void {
    if (this.keepalive !== undefined || this.isClosed) return;
    const quietMs = performance.now() - this.lastSentAtMs;
    if (quietMs > RECENTLY_SENT_MS) this.sendKeepalive();
  }

  private onData(data: Buffer): void {
    this.lastReceivedAtMs = performance.now();
    let remaining = data;
    while (!this.isClosed) {
      const end = remaining.indexOf(0x0a);
      if (end < 0) break;
      const line = this.takeLine(remaining.subarray(0, end));
      remaining = remaining.subarray(end + 1);
      if (line.length > 0) this.onLine(line.toString('utf8'));
      else this.returnKeepalive();
    }
    if (remaining.length === 0) return;
    this.partial.push(remaining);
    if (this.partial.length > this.maxLineBytes) this.close('line_too_long');
  }

  private onDeflated(deflated: DeflatedLine): void {
    const line = inflateLine(deflated, MAX_LINE_BYTES);
    if (line.isOk()) this.onLine(line.value);
    else this.close('invalid');
  }

  private get maxLineBytes(): number {
    if (this.hasValidMessage) return MAX_LINE_BYTES;
    const hasOpened = this.keepalive !== undefined;
    return hasOpened ? MAX_FIRST_ANSWER_BYTES : MAX_FIRST_LINE_BYTES;
  }

  /** The line that ends with these bytes. */
  private takeLine(lastPart: Buffer): Buffer {
    if (this.partial.length === 0) return lastPart;
    this.partial.push(lastPart);
    return this.partial.take();
  }

  private onLine(line: string): void {
    let message: unknown;
    try {
      message = JSON.parse(line);
    } catch {
      this.close('invalid');
      return;
    }
    this.hasValidMessage = true;
    // A handler's response may come after its connection closed, when the other
    // side no longer waits for it.
    this.rpc.receiveAndSend(message).catch(() => this.close());
  }
}

/**
 * One connection between two daemons: JSON-RPC in both directions, one message
 * per line.
 *
 * Each side sends keepalives and closes the connection after receiving nothing
 * for a while, so a connection that went silent is replaced by a new one.
 */
import type {Socket} from 'node:net';
import {
  JSONRPCClient,
  JSONRPCServer,
  JSONRPCServerAndClient,
} from 'json-rpc-2.0';

const KEEPALIVE_MS = 500;
const MAX_SILENCE_MS = 1_500;
/** A peer that reads too slowly is disconnected instead of buffering more. */
const MAX_UNSENT_BYTES = 8_388_608;
const MAX_LINE_BYTES = 33_554_432;
const KEEPALIVE_LINE = '\n';

export type RpcHandlers = Readonly<
  Record<string, (params: never, peer: Peer) => unknown>
>;

export class Peer {
  private readonly rpc: JSONRPCServerAndClient;
  private readonly timer: NodeJS.Timeout;
  private lastReceivedAtMs = performance.now();
  private partial: Buffer[] = [];
  private partialBytes = 0;
  isClosed = false;
  /** Label for the remote side; set and read by the owner only. */
  tag: string | undefined;

  constructor(
    private readonly socket: Socket,
    handlers: RpcHandlers,
    private readonly onClosed: (peer: Peer) => void,
  ) {
    const server = new JSONRPCServer({errorListener: () => undefined});
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
    socket.on('error', () => this.close());
    socket.on('close', () => this.close());
    this.timer = setInterval(() => this.checkSilence(), KEEPALIVE_MS);
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
    return (await this.rpc.timeout(timeoutMs).request(method, params)) as T;
  }

  /** Time since any data was received. */
  get silentMs(): number {
    return performance.now() - this.lastReceivedAtMs;
  }

  notify(method: string, params: object): void {
    if (!this.isClosed) this.rpc.notify(method, params);
  }

  close(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    clearInterval(this.timer);
    this.socket.destroy();
    this.rpc.rejectAllPendingRequests('the connection closed');
    this.onClosed(this);
  }

  private write(text: string): void {
    if (this.isClosed) throw new Error('the connection closed');
    this.socket.write(text);
    if (this.socket.writableLength > MAX_UNSENT_BYTES) this.close();
  }

  private checkSilence(): void {
    const nowMs = performance.now();
    if (nowMs - this.lastReceivedAtMs > MAX_SILENCE_MS) this.close();
    else this.socket.write(KEEPALIVE_LINE);
  }

  private onData(data: Buffer): void {
    this.lastReceivedAtMs = performance.now();
    let remaining = data;
    for (;;) {
      const end = remaining.indexOf(0x0a);
      if (end < 0) break;
      const line = Buffer.concat([...this.partial, remaining.subarray(0, end)]);
      this.partial = [];
      this.partialBytes = 0;
      remaining = remaining.subarray(end + 1);
      if (line.length > 0) this.onLine(line.toString('utf8'));
    }
    if (remaining.length === 0) return;
    this.partial.push(remaining);
    this.partialBytes += remaining.length;
    if (this.partialBytes > MAX_LINE_BYTES) this.close();
  }

  private onLine(line: string): void {
    let message: unknown;
    try {
      message = JSON.parse(line);
    } catch {
      this.close();
      return;
    }
    // A handler's response may come after its connection closed, when the other
    // side no longer waits for it.
    this.rpc.receiveAndSend(message).catch(() => this.close());
  }
}

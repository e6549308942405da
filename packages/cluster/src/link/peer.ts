/**
 * One connection between two daemons: JSON-RPC both ways, one message a line.
 *
 * Each side sends a keepalive and closes the connection when nothing came for
 * a while, so a connection that went silent is replaced by a new one.
 */
import type {Socket} from 'node:net';
import {
  JSONRPCClient,
  JSONRPCServer,
  JSONRPCServerAndClient,
} from 'json-rpc-2.0';

const KEEPALIVE_MS = 500;
const SILENCE_MAX_MS = 1_500;
/** A peer that reads too slowly is cut rather than buffered for. */
const MAX_UNSENT_BYTES = 8_388_608;
const MAX_LINE_BYTES = 33_554_432;
const KEEPALIVE_LINE = '\n';

export type RpcHandlers = Readonly<
  Record<string, (params: never, peer: Peer) => unknown>
>;

export class Peer {
  private readonly rpc: JSONRPCServerAndClient;
  private readonly timer: NodeJS.Timeout;
  private heardAtMs = performance.now();
  private partial: Buffer[] = [];
  private partialBytes = 0;
  isClosed = false;
  /** Free for the owner: who the other side says it is. */
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

  /** Rejects when the peer refuses, stays silent for `timeoutMs` or goes. */
  async request<T>(
    method: string,
    params: object,
    timeoutMs: number,
  ): Promise<T> {
    return (await this.rpc.timeout(timeoutMs).request(method, params)) as T;
  }

  /** How long ago anything came. */
  get silentMs(): number {
    return performance.now() - this.heardAtMs;
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
    if (nowMs - this.heardAtMs > SILENCE_MAX_MS) this.close();
    else this.socket.write(KEEPALIVE_LINE);
  }

  private onData(data: Buffer): void {
    this.heardAtMs = performance.now();
    let rest = data;
    for (;;) {
      const end = rest.indexOf(0x0a);
      if (end < 0) break;
      const line = Buffer.concat([...this.partial, rest.subarray(0, end)]);
      this.partial = [];
      this.partialBytes = 0;
      rest = rest.subarray(end + 1);
      if (line.length > 0) this.onLine(line.toString('utf8'));
    }
    if (rest.length === 0) return;
    this.partial.push(rest);
    this.partialBytes += rest.length;
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
    // An answer can come too late for its connection: then nobody waits for it.
    this.rpc.receiveAndSend(message).catch(() => this.close());
  }
}

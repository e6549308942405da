/**
 * Counts the connections of HTTP servers and what they hold in the process's
 * account, reads them in small pieces, and closes those that the account evicts.
 */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {
  SYSTEM_UNREAD_BYTES,
  type Holder,
  type ResourceAccount,
} from '../account/index.js';
import {setLease} from './lease.js';
import {PacedReader} from './paced-reader.js';
import {bodyBlocks} from './read-body.js';
import {TurnScheduler} from './turn-scheduler.js';

const SWEEP_EVERY_MS = 100;
/** While nothing waits or has to be freed; each sweep wakes the process. */
const IDLE_SWEEP_EVERY_MS = 500;
/** Blocks that are freed at each sweep while none are needed: 2.5 MB a second. */
const TRIM_BLOCKS = 16;
/**
 * Memory of a head by its bytes: strings and an array for names and values.
 * 600 heads of 3,950 lines in 16 KB took 131 KB each.
 */
const HEAD_FACTOR = 8;
/**
 * Fewer bytes are no progress; otherwise a client could hold memory by sending
 * single bytes.
 */
const MIN_PROGRESS_BYTES = 1_024;

interface OpenRequest {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
}

/** One connection of a client. */
class GuardedConnection {
  private readonly open = new Set<OpenRequest>();
  private readonly reader: PacedReader;
  private headBytes = 0;
  private unreportedBytes = 0;

  constructor(
    private readonly socket: Socket,
    private readonly holder: Holder,
    private readonly account: ResourceAccount,
    scheduler: TurnScheduler,
    private readonly nowMs: () => number,
  ) {
    this.reader = new PacedReader(socket, {
      scheduler,
      mayPass: () => this.mayPass(),
      onPassing: bytes => this.onPassing(bytes),
      onHeld: bytes => this.onHeld(bytes),
    });
    const close = () => {
      holder.close();
      this.endConnection();
    };
    holder.onEvict = close;
    holder.isEvictable = () => this.isEvictable();
    socket.on('close', () => holder.close());
    socket.on('drain', () => holder.progress(nowMs()));
    setLease(socket, {
      tryGrow: (kind, bytes) => holder.tryGrow(kind, bytes),
      reserve: (kind, bytes, onEnd) =>
        account.reserve(holder, kind, bytes, nowMs(), onEnd),
      set: (kind, bytes) => holder.set(kind, bytes),
      join: group => holder.join(group),
      onEvict: listener => {
        holder.onEvict = listener;
        return () => (holder.onEvict = close);
      },
    });
  }

  addRequest(req: IncomingMessage, res: ServerResponse): void {
    const request = {req, res};
    this.open.add(request);
    this.holder.progress(this.nowMs());
    res.on('close', () => {
      this.open.delete(request);
      this.onResponseClosed();
    });
  }

  /**
   * Handles one request at a time: reads its body, but nothing that follows it.
   */
  private mayPass(): boolean {
    if (this.open.size === 0) return true;
    const [first] = this.open;
    return this.open.size === 1 && !first!.req.complete;
  }

  /** A request that was read whole may run, until its response is written. */
  private isEvictable(): boolean {
    return [...this.open].every(
      ({req, res}) => !req.complete || res.writableEnded,
    );
  }

  /** A response without framing is complete if its connection just closes. */
  private endConnection(): void {
    const isResponding = [...this.open].some(({res}) => res.headersSent);
    if (isResponding) this.socket.resetAndDestroy();
    else this.socket.destroy();
  }

  private onPassing(bytes: number): void {
    if (this.open.size === 0) {
      this.headBytes += bytes;
      this.holder.set('heads', this.headBytes * HEAD_FACTOR);
    }
    this.unreportedBytes += bytes;
    if (this.unreportedBytes < MIN_PROGRESS_BYTES) return;
    this.unreportedBytes = 0;
    this.holder.progress(this.nowMs());
  }

  private onHeld(bytes: number): void {
    this.holder.set('pipelined', bytes);
    this.holder.set('unread', bytes > 0 ? SYSTEM_UNREAD_BYTES : 0);
  }

  private onResponseClosed(): void {
    if (this.open.size > 0) return;
    this.headBytes = 0;
    this.holder.hasServed = true;
    this.holder.leaveGroups();
    this.holder.set('heads', 0);
    this.holder.set('bodies', 0);
    this.holder.set('responses', 0);
    this.holder.progress(this.nowMs());
    this.reader.resume();
  }
}

export class ConnectionGuard {
  private readonly connections = new WeakMap<Socket, GuardedConnection>();
  private readonly scheduler = new TurnScheduler();
  private timer: NodeJS.Timeout | undefined;
  private isClosed = false;

  constructor(
    private readonly account: ResourceAccount,
    private readonly nowMs: () => number = () => performance.now(),
  ) {
    this.scheduleSweep();
  }

  /** Call before the server gets its own listeners for requests. */
  guard(server: Server): void {
    server.on('connection', (socket: Socket) => this.onConnection(socket));
    server.prependListener('request', (req: IncomingMessage, res) => {
      this.connections.get(req.socket)?.addRequest(req, res as ServerResponse);
    });
  }

  close(): void {
    this.isClosed = true;
    clearTimeout(this.timer);
  }

  private scheduleSweep(): void {
    if (this.isClosed) return;
    const isBusy = this.account.isUnderPressure || bodyBlocks.freeBytes > 0;
    const delayMs = isBusy ? SWEEP_EVERY_MS : IDLE_SWEEP_EVERY_MS;
    this.timer = setTimeout(() => {
      this.sweep();
      this.scheduleSweep();
    }, delayMs);
    this.timer.unref();
  }

  private onConnection(socket: Socket): void {
    const holder = this.openHolder(socket.remoteAddress ?? '');
    if (holder === undefined) {
      socket.destroy();
      return;
    }
    const {account, scheduler, nowMs} = this;
    const connection = new GuardedConnection(
      socket,
      holder,
      account,
      scheduler,
      nowMs,
    );
    this.connections.set(socket, connection);
  }

  private openHolder(address: string): Holder | undefined {
    const {account} = this;
    const nowMs = this.nowMs();
    const holder = account.open(address, nowMs);
    if (holder !== undefined) return holder;
    return account.evictConnection(nowMs)
      ? account.open(address, nowMs)
      : undefined;
  }

  private sweep(): void {
    const {account} = this;
    account.sweep(this.nowMs());
    if (account.bytesOf('bodies') === 0) bodyBlocks.trim(TRIM_BLOCKS);
    account.setOwn('spare', bodyBlocks.freeBytes);
  }
}

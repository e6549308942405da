/**
 * Passes what a socket of an HTTP server receives to the server's parser in
 * small pieces. A piece ends with a head at the latest, so the parser never has
 * more than one request beyond the one that is handled; and it is small, so that
 * chunks of one byte cost a bounded time. While pieces are left, the socket is
 * not read.
 */
import type {Socket} from 'node:net';
import {noteReceived} from './collect-buffers.js';
import type {TurnScheduler, TurnTaker} from './turn-scheduler.js';

/** In chunks of one byte, 680 calls of the parser: about a millisecond. */
const MAX_PIECE_BYTES = 4_096;
const HEAD_END = Buffer.from('\r\n\r\n');

export interface PacedReaderOptions {
  readonly scheduler: TurnScheduler;
  /** Whether the server takes more now; call {@link PacedReader.resume} later. */
  readonly mayPass: () => boolean;
  /** Called before a piece is passed on. */
  readonly onPassing: (bytes: number) => void;
  /** Called with the bytes that wait in the process. */
  readonly onHeld: (bytes: number) => void;
}

/** Length of the first piece of the data. */
export function pieceLength(data: Buffer): number {
  const first = data.subarray(0, MAX_PIECE_BYTES);
  const end = first.indexOf(HEAD_END);
  return end < 0 ? first.length : end + HEAD_END.length;
}

export class PacedReader implements TurnTaker {
  private held: Buffer | undefined;
  private hasEnded = false;
  private isPassing = false;
  private readonly pushToStream: Socket['push'];
  private readonly readFromSystem: Socket['_read'];

  constructor(
    private readonly socket: Socket,
    private readonly options: PacedReaderOptions,
  ) {
    // A listener makes the server parse what the stream emits; without one it
    // reads from the system past the stream.
    socket.on('data', () => undefined);
    this.pushToStream = socket.push.bind(socket);
    this.readFromSystem = socket._read.bind(socket);
    socket.push = (data: Buffer | null) => this.receive(data);
    socket._read = size => this.read(size);
    socket.on('resume', () => this.resume());
    socket.on('close', () => this.drop());
  }

  /** Passes on what is held, as far as the server takes it. */
  resume(): void {
    if (this.mayStep()) this.options.scheduler.run(this);
  }

  step(): boolean {
    if (!this.mayStep()) return false;
    const data = this.held!;
    const length = pieceLength(data);
    this.hold(length < data.length ? data.subarray(length) : undefined);
    this.options.onPassing(length);
    this.isPassing = true;
    this.pushToStream(data.subarray(0, length));
    this.isPassing = false;
    if (this.held === undefined && this.hasEnded) this.pushToStream(null);
    return this.mayStep();
  }

  private mayStep(): boolean {
    const {socket, held, options} = this;
    // The parser must not be entered again from one of its own calls.
    if (held === undefined || this.isPassing) return false;
    if (socket.destroyed || socket.isPaused()) return false;
    return options.mayPass();
  }

  /** Returns false if nothing more is to be read from the system. */
  private receive(data: Buffer | null): boolean {
    if (data === null) {
      this.hasEnded = true;
      return this.held === undefined ? this.pushToStream(null) : false;
    }
    noteReceived(data.length);
    this.hold(this.held ? Buffer.concat([this.held, data]) : data);
    this.resume();
    return this.held === undefined && !this.socket.isPaused();
  }

  private read(size: number): void {
    if (this.held === undefined) this.readFromSystem(size);
    else this.resume();
  }

  private hold(data: Buffer | undefined): void {
    const before = this.held?.length ?? 0;
    this.held = data;
    const after = data?.length ?? 0;
    if (after !== before) this.options.onHeld(after);
  }

  private drop(): void {
    this.options.scheduler.remove(this);
    this.hold(undefined);
  }
}

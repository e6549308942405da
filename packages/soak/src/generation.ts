/**
 * One generation of an engine stand-in: makes numbered events at a steady pace
 * and sends them on the connection that it has now.
 */
import type {Socket} from 'node:net';
import {chunk, STREAM_END} from '@samphirefield/gateway/testing';
import type {Draw} from './schedule.js';
import {eventText} from './streams.js';
import type {RunEnd, RunRecord} from './types.js';

/** How the end of a stream is told: by chunks, or by the connection's end. */
export type Framing = 'chunks' | 'connection';

const EVENT_EVERY_MS = 25;
const MIN_EVENTS = 3;
const MAX_EVENTS = 120;
/** Longer than the grace period of a stop. */
const LONG_EVENTS = 400;
/** One generation of this many is long. */
const GENERATIONS_PER_LONG = 15;

export interface GenerationOptions {
  readonly run: RunRecord;
  readonly framing: Framing;
  readonly draw: Draw;
  readonly isSilent: () => boolean;
  readonly onEnd: () => void;
}

export class Generation {
  private readonly total: number;
  private made = 0;
  private socket: Socket | undefined;
  private timer: NodeJS.Timeout | undefined;
  /** Where the generation runs; another target takes it over with its copy. */
  isSilent: () => boolean;

  constructor(private readonly options: GenerationOptions) {
    const isLong = options.draw(1, GENERATIONS_PER_LONG) === 1;
    this.total = isLong ? LONG_EVENTS : options.draw(MIN_EVENTS, MAX_EVENTS);
    this.isSilent = options.isSilent;
  }

  get madeCount(): number {
    return this.made;
  }

  get isRunning(): boolean {
    return this.timer !== undefined;
  }

  /** Sends the events after `lastEventId` on this connection, and goes on. */
  start(socket: Socket, lines: readonly string[], lastEventId: number): void {
    this.socket = socket;
    const {framing, run} = this.options;
    const framingLine =
      framing === 'chunks' ? 'Transfer-Encoding: chunked' : 'Connection: close';
    const head = ['HTTP/1.1 200 OK', ...lines, framingLine, '', ''];
    socket.write(head.join('\r\n'));
    run.end = 'running';
    for (let id = lastEventId + 1; id <= this.made; id += 1) this.send(id);
    socket.once('close', () => {
      if (this.socket === socket && this.isRunning) this.finish('connection');
    });
    this.timer = setInterval(() => this.makeEvent(), EVENT_EVERY_MS);
  }

  /** Stops for its last copy; closes the stream without its end. */
  stopForCopy(): void {
    const {socket} = this;
    this.finish('target');
    if (this.options.framing === 'chunks') socket?.destroy();
    else socket?.end();
  }

  /** Ends with its target. */
  crash(): void {
    if (this.isRunning) this.finish('target');
  }

  private makeEvent(): void {
    if (this.isSilent()) return;
    if (this.made < this.total) {
      this.made += 1;
      this.send(this.made);
    }
    if (this.made < this.total) return;
    const {socket} = this;
    this.finish('whole');
    if (this.options.framing === 'chunks') socket?.write(STREAM_END);
    else socket?.end();
  }

  private send(id: number): void {
    const text = eventText(this.options.run.signature, id, this.total);
    const isChunked = this.options.framing === 'chunks';
    this.socket?.write(isChunked ? chunk(text) : text);
  }

  private finish(end: RunEnd): void {
    clearInterval(this.timer);
    this.timer = undefined;
    this.socket = undefined;
    const {run, onEnd} = this.options;
    run.end = end;
    run.endedAtMs = performance.now();
    onEnd();
  }
}

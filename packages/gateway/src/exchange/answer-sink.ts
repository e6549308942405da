/**
 * Passes one target's answer to the caller. Streams go out as they come, event
 * by event; other answers only once they are whole, so that a broken one can
 * still be replaced.
 */
import type {ServerResponse} from 'node:http';
import type {AnswerHead} from '../upstream/index.js';
import {answerHeaders} from './request-text.js';

/** A longer answer is passed on before it is whole. */
const HOLD_MAX_BYTES = 1_048_576;
const EVENT_END = Buffer.from('\n\n');

export class AnswerSink {
  /** Whole events that were passed on. */
  eventCount = 0;
  private held: Buffer[] = [];
  private heldBytes = 0;
  private isHeadSent = false;

  constructor(
    private readonly res: ServerResponse,
    private readonly head: AnswerHead,
    private readonly isStreamed: boolean,
    private readonly onFull: () => void,
  ) {}

  /** Whether the caller was sent any part of this answer. */
  get hasStarted(): boolean {
    return this.isHeadSent;
  }

  take(data: Buffer): void {
    if (this.isStreamed) this.takeEvents(data);
    else this.hold(data);
  }

  /** Passes on what is held, and the end. */
  end(): void {
    const rest = Buffer.concat(this.held);
    this.held = [];
    if (!this.isHeadSent) {
      this.sendHead(rest.length);
      this.res.end(rest);
      return;
    }
    this.res.end(rest.length > 0 ? rest : undefined);
  }

  private hold(data: Buffer): void {
    if (this.isHeadSent) {
      this.write(data);
      return;
    }
    this.held.push(data);
    this.heldBytes += data.length;
    if (this.heldBytes <= HOLD_MAX_BYTES) return;
    this.flush(Buffer.concat(this.held));
    this.held = [];
  }

  private takeEvents(data: Buffer): void {
    const pending = this.held.length > 0 ? Buffer.concat([...this.held, data]) : data;
    const lastEnd = pending.lastIndexOf(EVENT_END);
    if (lastEnd < 0) {
      this.held = [pending];
      return;
    }
    const cut = lastEnd + EVENT_END.length;
    const whole = pending.subarray(0, cut);
    this.held = cut < pending.length ? [pending.subarray(cut)] : [];
    this.eventCount += countEvents(whole);
    this.flush(whole);
  }

  private flush(data: Buffer): void {
    if (!this.isHeadSent) this.sendHead(undefined);
    this.write(data);
  }

  private write(data: Buffer): void {
    if (!this.res.write(data)) this.onFull();
  }

  private sendHead(lengthBytes: number | undefined): void {
    this.isHeadSent = true;
    const {status, statusText, rawHeaders} = this.head;
    const headers = answerHeaders(rawHeaders);
    this.res.sendDate = false;
    if (this.head.endsWithConnection) {
      // Whether it was whole nobody can tell, so it gets no framing from us.
      this.res.removeHeader('transfer-encoding');
      this.res.shouldKeepAlive = false;
      headers.push('Connection', 'close');
    } else if (lengthBytes !== undefined) {
      headers.push('Content-Length', String(lengthBytes));
    }
    this.res.writeHead(status, statusText, headers);
  }
}

function countEvents(data: Buffer): number {
  let count = 0;
  let position = data.indexOf(EVENT_END);
  while (position >= 0) {
    count += 1;
    position = data.indexOf(EVENT_END, position + EVENT_END.length);
  }
  return count;
}

/**
 * What is known about the orders that stop a run on one target for its last
 * copy. A target that obeys closes the stream before its end, which looks like
 * the end of a response without framing.
 */
import type {CopyResponse} from './types.js';

/** The last events of a stopped run may still be in transit for this long. */
export const FINAL_EVENTS_WAIT_MS = 120;

/**
 * Events that come this long after an answer were sent after it: longer than a
 * lost segment takes to be sent again.
 */
const SENT_LATER_AFTER_MS = 1_000;

/** When a stream was read; times are those of `performance.now`. */
export interface StreamReading {
  /** When its last event was read. */
  readonly lastAtMs: number;
  /** Since when it is read as it arrives; Infinity if reading is paused. */
  readonly readSinceMs: number;
}

export class StopOrder {
  private orderCount = 0;
  private answerCount = 0;
  private answeredAtMs = 0;

  /** Whether the target may have stopped the run, or may stop it later. */
  get mayStop(): boolean {
    return this.orderCount > 0;
  }

  /** Whether the target may still carry out an order that it didn't answer. */
  get isOpen(): boolean {
    return this.orderCount > this.answerCount;
  }

  noteOrdered(): void {
    this.orderCount += 1;
  }

  noteAnswer(answer: CopyResponse, nowMs: number): void {
    if (answer.kind === 'unreachable') return;
    this.answerCount += 1;
    this.answeredAtMs = nowMs;
  }

  /** Whether a stream that has ended was not stopped by an order. */
  hasEndedByItself(reading: StreamReading): boolean {
    if (!this.mayStop) return true;
    if (this.isOpen) return false;
    return this.wentOnAfterAnswer(reading);
  }

  private wentOnAfterAnswer({lastAtMs, readSinceMs}: StreamReading): boolean {
    if (readSinceMs > this.answeredAtMs) return false;
    return lastAtMs - this.answeredAtMs > SENT_LATER_AFTER_MS;
  }
}

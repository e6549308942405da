/**
 * Turns for moves off one target. Copies queue on a target's link, so runs
 * that move at once would all be late; in turn, each is moved whole.
 */
import type {RequestId, TargetId} from '@samphirefield/core';

/** A holder that says nothing for this long has lost its turn. */
const TURN_MAX_MS = 1_200;

interface Turn {
  readonly holder: RequestId;
  readonly start: () => void;
  startedAtMs: number | undefined;
}

export class MovePermits {
  private readonly queues = new Map<TargetId, Turn[]>();

  constructor(private readonly nowMs: () => number) {}

  /** Calls `start` once it is the holder's turn. */
  request(source: TargetId, holder: RequestId, start: () => void): void {
    const queue = this.queues.get(source) ?? [];
    this.queues.set(source, queue);
    queue.push({holder, start, startedAtMs: undefined});
    this.advance(source, queue);
  }

  release(source: TargetId, holder: RequestId): void {
    const queue = this.queues.get(source);
    if (queue === undefined) return;
    const position = queue.findIndex(turn => turn.holder === holder);
    if (position >= 0) queue.splice(position, 1);
    this.advance(source, queue);
  }

  /** Ends turns whose holders fell silent. */
  expireOverdue(): void {
    for (const [source, queue] of this.queues) {
      const startedAtMs = queue[0]?.startedAtMs;
      const isStuck =
        startedAtMs !== undefined && this.nowMs() - startedAtMs > TURN_MAX_MS;
      if (isStuck) queue.shift();
      this.advance(source, queue);
    }
  }

  private advance(source: TargetId, queue: Turn[]): void {
    const first = queue[0];
    if (first === undefined) {
      this.queues.delete(source);
      return;
    }
    if (first.startedAtMs !== undefined) return;
    first.startedAtMs = this.nowMs();
    first.start();
  }
}

/**
 * Turns for moves off one target. Copies queue on a target's link, so runs
 * that move at once would all be late; in turn, each is moved whole.
 */
import type {RequestId, TargetId} from '@samphirefield/core';

/** A holder that says nothing for this long has lost its turn. */
const PERMIT_MAX_MS = 1_200;

interface PermitRequest {
  readonly holder: RequestId;
  readonly grant: () => void;
  grantedAtMs: number | undefined;
}

export class MovePermits {
  private readonly queues = new Map<TargetId, PermitRequest[]>();

  constructor(private readonly nowMs: () => number) {}

  /** Calls `start` once it is the holder's turn. */
  request(source: TargetId, holder: RequestId, grant: () => void): void {
    const queue = this.queues.get(source) ?? [];
    this.queues.set(source, queue);
    queue.push({holder, grant, grantedAtMs: undefined});
    this.grantNext(source, queue);
  }

  release(source: TargetId, holder: RequestId): void {
    const queue = this.queues.get(source);
    if (queue === undefined) return;
    const position = queue.findIndex(request => request.holder === holder);
    if (position >= 0) queue.splice(position, 1);
    this.grantNext(source, queue);
  }

  /** Ends turns whose holders fell silent. */
  expireOverdue(): void {
    for (const [source, queue] of this.queues) {
      const grantedAtMs = queue[0]?.grantedAtMs;
      const isOverdue =
        grantedAtMs !== undefined && this.nowMs() - grantedAtMs > PERMIT_MAX_MS;
      if (isOverdue) queue.shift();
      this.grantNext(source, queue);
    }
  }

  private grantNext(source: TargetId, queue: PermitRequest[]): void {
    const next = queue[0];
    if (next === undefined) {
      this.queues.delete(source);
      return;
    }
    if (next.grantedAtMs !== undefined) return;
    next.grantedAtMs = this.nowMs();
    next.grant();
  }
}

/**
 * Permits for moves off a target, one at a time per target. Copies share the
 * target's link, so runs that move at the same time would all be late; moved
 * one after another, each run is moved completely.
 */
import type {RequestId, TargetId} from '@samphirefield/core';

/** A permit that is not released within this time expires. */
const PERMIT_MAX_MS = 1_200;

interface PermitRequest {
  readonly holder: RequestId;
  readonly grant: () => void;
  grantedAtMs: number | undefined;
}

/** A queue of permit requests per source; the first has the permit. */
export class MovePermits {
  private readonly queuesBySource = new Map<TargetId, PermitRequest[]>();

  constructor(private readonly nowMs: () => number) {}

  /** Queues a request; calls `grant` once the holder has the permit. */
  request(source: TargetId, holder: RequestId, grant: () => void): void {
    const queue = this.queuesBySource.get(source) ?? [];
    this.queuesBySource.set(source, queue);
    queue.push({holder, grant, grantedAtMs: undefined});
    this.grantNext(source, queue);
  }

  /** Releases the holder's permit, or drops its queued request. */
  release(source: TargetId, holder: RequestId): void {
    const queue = this.queuesBySource.get(source);
    if (queue === undefined) return;
    const position = queue.findIndex(request => request.holder === holder);
    if (position >= 0) queue.splice(position, 1);
    this.grantNext(source, queue);
  }

  /** Takes expired permits from their holders and grants the next ones. */
  expireOverdue(): void {
    for (const [source, queue] of this.queuesBySource) {
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
      this.queuesBySource.delete(source);
      return;
    }
    if (next.grantedAtMs !== undefined) return;
    next.grantedAtMs = this.nowMs();
    next.grant();
  }
}

/**
 * The counts of an entry for one rollout: totals by route and version, which only
 * increase. Uses no clock and no network.
 */
import type {TargetId} from '@samphirefield/core';
import {
  latencyBucket,
  type EvidenceRow,
  type VersionSide,
} from '@samphirefield/policy/rollouts';

/**
 * Bounds the size of reports: beyond it, further targets of the new version
 * share one row for each route.
 */
const MAX_ROWS = 64;

interface Row {
  readonly route: string;
  readonly side: VersionSide;
  readonly target: TargetId | undefined;
  sentRequests: number;
  badResponses: number;
  abandonedRequests: number;
  readonly latencyCounts: number[];
  /** Whether the leader may not know the present totals. */
  isUnreported: boolean;
}

export type RowKey = string;

export class RolloutCounts {
  seenRequests = 0;
  private readonly rows = new Map<RowKey, Row>();

  /** Counts a request that is sent; returns the key of its row. */
  addSent(route: string, side: VersionSide, target: TargetId): RowKey {
    const row = this.rowFor(route, side, target);
    row.sentRequests += 1;
    row.isUnreported = true;
    return keyOf(row);
  }

  /** The key of the row for the outcome of a request that moved to a target. */
  keyFor(route: string, side: VersionSide, target: TargetId): RowKey {
    return keyOf(this.rowFor(route, side, target));
  }

  addAnswer(key: RowKey, latencyMs: number): void {
    const row = this.rows.get(key)!;
    const bucket = latencyBucket(latencyMs);
    while (row.latencyCounts.length <= bucket) row.latencyCounts.push(0);
    row.latencyCounts[bucket]! += 1;
    row.isUnreported = true;
  }

  addBad(key: RowKey): void {
    const row = this.rows.get(key)!;
    row.badResponses += 1;
    row.isUnreported = true;
  }

  addAbandoned(key: RowKey): void {
    const row = this.rows.get(key)!;
    row.abandonedRequests += 1;
    row.isUnreported = true;
  }

  /** Returns the rows that the leader may not know, and marks them reported. */
  takeUnreported(): EvidenceRow[] {
    const unreported = [...this.rows.values()].filter(row => row.isUnreported);
    for (const row of unreported) row.isUnreported = false;
    return unreported.map(toEvidence);
  }

  /** Has rows reported again, after a lost report or a change of the leader. */
  markUnreported(rows: readonly EvidenceRow[] | 'all'): void {
    const keys = rows === 'all' ? [...this.rows.keys()] : rows.map(keyOf);
    for (const key of keys) this.rows.get(key)!.isUnreported = true;
  }

  private rowFor(route: string, side: VersionSide, target: TargetId): Row {
    const isFull = this.rows.size >= MAX_ROWS;
    const rowTarget = side === 'old' || isFull ? undefined : target;
    const exact = this.rows.get(keyOf({route, side, target: rowTarget}));
    if (exact) return exact;
    const row: Row = {
      route,
      side,
      target: rowTarget,
      sentRequests: 0,
      badResponses: 0,
      abandonedRequests: 0,
      latencyCounts: [],
      isUnreported: true,
    };
    this.rows.set(keyOf(row), row);
    return row;
  }
}

function keyOf({
  route,
  side,
  target,
}: {
  readonly route: string;
  readonly side: VersionSide;
  readonly target?: TargetId | undefined;
}): RowKey {
  return JSON.stringify([route, side, target]);
}

function toEvidence(row: Row): EvidenceRow {
  const {route, side, target, sentRequests, badResponses} = row;
  return {
    route,
    side,
    ...(target !== undefined && {target}),
    sentRequests,
    badResponses,
    abandonedRequests: row.abandonedRequests,
    latencyCounts: [...row.latencyCounts],
  };
}

/**
 * What an entry counts for one rollout: sums by route and version, which only
 * grow. Without clock or network.
 */
import type {TargetId} from '@samphirefield/core';
import {
  latencyBucket,
  type EvidenceRow,
  type VersionSide,
} from '@samphirefield/policy/rollouts';

/** Further targets of the new version share one row for each route. */
const MAX_ROWS = 64;

interface Row {
  readonly route: string;
  readonly side: VersionSide;
  readonly target: TargetId | undefined;
  sentRequests: number;
  badResponses: number;
  abandonedRequests: number;
  readonly latencyCounts: number[];
  /** Whether the leader may not know the present sums. */
  isNews: boolean;
}

export type RowKey = string;

export class RolloutCounts {
  seenRequests = 0;
  private readonly rows = new Map<RowKey, Row>();

  /** Counts a request that is sent; returns the key of its row. */
  addSent(route: string, side: VersionSide, target: TargetId): RowKey {
    const row = this.rowFor(route, side, target);
    row.sentRequests += 1;
    row.isNews = true;
    return keyOf(row);
  }

  /** The key of the row that counts what becomes of a request elsewhere. */
  keyFor(route: string, side: VersionSide, target: TargetId): RowKey {
    return keyOf(this.rowFor(route, side, target));
  }

  addAnswer(key: RowKey, latencyMs: number): void {
    const row = this.rows.get(key)!;
    const bucket = latencyBucket(latencyMs);
    while (row.latencyCounts.length <= bucket) row.latencyCounts.push(0);
    row.latencyCounts[bucket]! += 1;
    row.isNews = true;
  }

  addBad(key: RowKey): void {
    const row = this.rows.get(key)!;
    row.badResponses += 1;
    row.isNews = true;
  }

  addAbandoned(key: RowKey): void {
    const row = this.rows.get(key)!;
    row.abandonedRequests += 1;
    row.isNews = true;
  }

  /** Rows that the leader may not know, as they are now. */
  takeNews(): EvidenceRow[] {
    const news = [...this.rows.values()].filter(row => row.isNews);
    for (const row of news) row.isNews = false;
    return news.map(toEvidence);
  }

  /** Reports the rows again: their report was lost, or the leader is new. */
  markNews(rows: readonly EvidenceRow[] | 'all'): void {
    const keys = rows === 'all' ? [...this.rows.keys()] : rows.map(keyOf);
    for (const key of keys) this.rows.get(key)!.isNews = true;
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
      isNews: true,
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

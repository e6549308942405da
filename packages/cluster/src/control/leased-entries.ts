/**
 * What each entry holds of the requests that a rollout grants, as the leader
 * knows it. An entry that restarted counts as another one: what it held before
 * may have been used.
 */
import type {Incarnation, InstanceId} from '@samphirefield/core';
import {divideAllowance, type EntryUse} from '@samphirefield/policy/rollouts';
import type {RolloutReport} from './rollout-messages.js';

/** Half-life of the number of requests that arrive at an entry. */
const RECENT_HALF_LIFE_MS = 1_000;

interface LeasedEntry {
  readonly entry: InstanceId;
  grantedRequests: number;
  /** Granted by the last division, but not told to the entry yet. */
  offeredRequests: number;
  usedRequests: number;
  seenRequests: number;
  recentRequests: number;
  reportedAtMs: number;
  hasClosed: boolean;
}

export class LeasedEntries {
  private readonly rows = new Map<string, LeasedEntry>();

  constructor(private readonly leaseMs: number) {}

  get usedRequests(): number {
    return this.sum(row => row.usedRequests);
  }

  get seenRequests(): number {
    return this.sum(row => row.seenRequests);
  }

  record(
    entry: InstanceId,
    incarnation: Incarnation,
    report: RolloutReport,
    nowMs: number,
  ): void {
    const key = keyOf(entry, incarnation);
    const row = this.rows.get(key) ?? this.addRow(key, entry, nowMs);
    const elapsedMs = nowMs - row.reportedAtMs;
    const added = Math.max(0, report.seenRequests - row.seenRequests);
    row.recentRequests =
      added + row.recentRequests * 0.5 ** (elapsedMs / RECENT_HALF_LIFE_MS);
    row.seenRequests = report.seenRequests;
    row.usedRequests = report.usedRequests;
    // The answer to an earlier report is never used after this one.
    row.grantedRequests = report.heldRequests;
    row.reportedAtMs = nowMs;
    row.hasClosed = report.isClosing && report.oldRuns === 0;
  }

  /** The number of requests that the entry may have sent, with the lease. */
  grant(entry: InstanceId, incarnation: Incarnation): number {
    const row = this.rows.get(keyOf(entry, incarnation));
    if (row === undefined) return 0;
    row.grantedRequests = Math.max(row.grantedRequests, row.offeredRequests);
    return row.grantedRequests;
  }

  /** Divides the allowance among the entries that are in contact. */
  divide(allowedRequests: number, nowMs: number): void {
    const uses: EntryUse[] = [...this.rows].map(([key, row]) => ({
      entry: key as InstanceId,
      grantedRequests: row.grantedRequests,
      sentRequests: Math.min(row.usedRequests, row.grantedRequests),
      recentRequests: row.recentRequests,
      isInContact: nowMs - row.reportedAtMs <= this.leaseMs,
    }));
    for (const {entry, allowedRequests: offered} of divideAllowance(
      allowedRequests,
      uses,
    )) {
      this.rows.get(entry)!.offeredRequests = offered;
    }
  }

  /** Whether nothing of the entry runs on old targets any more. */
  hasClosed(entry: InstanceId): boolean {
    return [...this.rows.values()].some(
      row => row.entry === entry && row.hasClosed,
    );
  }

  private addRow(key: string, entry: InstanceId, nowMs: number): LeasedEntry {
    for (const row of this.rows.values()) {
      if (row.entry === entry) row.hasClosed = false;
    }
    const row = newRow(entry, nowMs);
    this.rows.set(key, row);
    return row;
  }

  private sum(countOf: (row: LeasedEntry) => number): number {
    return [...this.rows.values()].reduce((sum, row) => sum + countOf(row), 0);
  }
}

const keyOf = (entry: InstanceId, incarnation: Incarnation) =>
  `${entry} ${incarnation}`;

function newRow(entry: InstanceId, nowMs: number): LeasedEntry {
  return {
    entry,
    grantedRequests: 0,
    offeredRequests: 0,
    usedRequests: 0,
    seenRequests: 0,
    recentRequests: 0,
    reportedAtMs: nowMs,
    hasClosed: false,
  };
}

/**
 * What each entry holds of the requests that a rollout grants, as the leader
 * knows it. An entry that restarted counts as another one: what it held before
 * may have been used.
 */
import type {Incarnation, InstanceId} from '@samphirefield/core';
import {
  divideAllowance,
  type EntryUse,
  type EvidenceRow,
  type RolloutEvidence,
} from '@samphirefield/policy/rollouts';
import type {RolloutReport} from './rollout-messages.js';

/** Half-life of the number of requests that arrive at an entry. */
const RECENT_HALF_LIFE_MS = 1_000;
/** An entry that was silent for so many leases can use none any more. */
const WRITE_OFF_LEASES = 1.5;

interface LeasedEntry {
  readonly entry: InstanceId;
  readonly incarnation: Incarnation;
  /** A route that it has sent requests of; undefined until it reported one. */
  route: string | undefined;
  grantedRequests: number;
  /** Granted by the last division, but not told to the entry yet. */
  offeredRequests: number;
  usedRequests: number;
  seenRequests: number;
  recentRequests: number;
  reportedAtMs: number;
}

export class LeasedEntries {
  private readonly rows = new Map<string, LeasedEntry>();
  /** Entries that use new targets only, and those that left the old ones. */
  private readonly closing = new Set<InstanceId>();
  private readonly closed = new Set<InstanceId>();

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
    const row = this.rows.get(key) ?? this.addRow(entry, incarnation, nowMs);
    const elapsedMs = nowMs - row.reportedAtMs;
    const added = Math.max(0, report.seenRequests - row.seenRequests);
    row.recentRequests =
      added + row.recentRequests * 0.5 ** (elapsedMs / RECENT_HALF_LIFE_MS);
    row.seenRequests = report.seenRequests;
    row.usedRequests = report.usedRequests;
    // The answer to an earlier report is never used after this one.
    row.grantedRequests = report.heldRequests;
    row.reportedAtMs = nowMs;
    row.route = report.rows[0]?.route ?? row.route;
    note(this.closing, entry, report.isClosing);
    note(this.closed, entry, report.isClosing && report.oldRuns === 0);
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

  /**
   * Counts what entries held that are gone as sent without a response: they may
   * have used it, and nobody else can. Otherwise it would be granted for good,
   * and keep the others from requests.
   */
  writeOff(nowMs: number): RolloutEvidence[] {
    return [...this.rows.values()].flatMap(row => {
      const isGone = nowMs - row.reportedAtMs > WRITE_OFF_LEASES * this.leaseMs;
      const lost = row.grantedRequests - row.usedRequests;
      if (!isGone || lost <= 0 || row.route === undefined) return [];
      row.usedRequests = row.grantedRequests;
      const {entry, incarnation, seenRequests, route} = row;
      const lostRow: EvidenceRow = {
        route,
        side: 'new',
        sentRequests: lost,
        badResponses: 0,
        abandonedRequests: lost,
        latencyCounts: [],
      };
      return {entry, incarnation, seenRequests, rows: [lostRow]};
    });
  }

  /** Whether the entry said that it uses new targets only. */
  isClosing(entry: InstanceId): boolean {
    return this.closing.has(entry);
  }

  /** Whether nothing of the entry runs on old targets any more. */
  hasClosed(entry: InstanceId): boolean {
    return this.closed.has(entry);
  }

  private addRow(
    entry: InstanceId,
    incarnation: Incarnation,
    nowMs: number,
  ): LeasedEntry {
    const row = newRow(entry, incarnation, nowMs);
    this.rows.set(keyOf(entry, incarnation), row);
    return row;
  }

  private sum(countOf: (row: LeasedEntry) => number): number {
    return [...this.rows.values()].reduce((sum, row) => sum + countOf(row), 0);
  }
}

const keyOf = (entry: InstanceId, incarnation: Incarnation) =>
  `${entry} ${incarnation}`;

function note(set: Set<InstanceId>, entry: InstanceId, isIn: boolean): void {
  if (isIn) set.add(entry);
  else set.delete(entry);
}

function newRow(
  entry: InstanceId,
  incarnation: Incarnation,
  nowMs: number,
): LeasedEntry {
  return {
    entry,
    incarnation,
    route: undefined,
    grantedRequests: 0,
    offeredRequests: 0,
    usedRequests: 0,
    seenRequests: 0,
    recentRequests: 0,
    reportedAtMs: nowMs,
  };
}

/**
 * The leader's record of the requests that a rollout grants to each entry, and
 * of how many the entry used. An entry that restarted gets a new row, because
 * the requests that were granted to it before may have been used.
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
/** The leases of an entry that was silent for this many have expired. */
const WRITE_OFF_LEASES = 1.5;

interface LeasedEntry {
  readonly entry: InstanceId;
  readonly incarnation: Incarnation;
  /** A route of requests that it sent; undefined until it reported one. */
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
  /** Entries that use new targets only; of these, the ones without old runs. */
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
    setMembership(this.closing, entry, report.isClosing);
    setMembership(this.closed, entry, report.isClosing && report.oldRuns === 0);
  }

  /** Returns the number of requests that the entry may send in total. */
  grant(entry: InstanceId, incarnation: Incarnation): number {
    const row = this.rows.get(keyOf(entry, incarnation));
    if (row === undefined) return 0;
    row.grantedRequests = Math.max(row.grantedRequests, row.offeredRequests);
    return row.grantedRequests;
  }

  /** Divides the allowance among the entries that are in contact. */
  divide(allowedRequests: number, nowMs: number): void {
    const uses: EntryUse[] = [...this.rows].map(([key, row]) => ({
      // The row key, as incarnations of one entry get separate grants.
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
   * Counts the unused grants of entries that are gone as requests without a
   * response, since the entries may have sent them. Otherwise these would stay
   * granted forever and reduce what the other entries may send.
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

  /** Whether the entry reported that it uses new targets only. */
  isClosing(entry: InstanceId): boolean {
    return this.closing.has(entry);
  }

  /** Whether the entry also reported that it has no runs on old targets. */
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

function setMembership(
  set: Set<InstanceId>,
  entry: InstanceId,
  isIn: boolean,
): void {
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

/**
 * The leader of a rollout: passes reports to the judge, and divides what it grants
 * into leases of entries.
 */
import type {InstanceId} from '@samphirefield/core';
import {
  createRolloutJudge,
  decide,
  divideAllowance,
  recordEvidence,
  rolloutLeaseMs,
  type EntryUse,
  type RolloutDecision,
  type RolloutEvidence,
  type RolloutLimits,
  type RolloutOrder,
  type RolloutSituation,
} from '@samphirefield/policy';
import type {Lease} from './entry.js';

export interface Report {
  readonly evidence: RolloutEvidence;
  readonly sentToNew: number;
  /** Highest number that the entry was ever allowed. */
  readonly allowedRequests: number;
  readonly sentAtMs: number;
}

interface Known {
  granted: number;
  sent: number;
  seen: number;
  recent: number;
  reportedAtMs: number;
}

/** An entry that has not reported for longer is out of contact. */
const CONTACT_MS = 1_000;
/** Weight of the newest report in what arrives at an entry. */
const NEWEST_WEIGHT = 0.3;

export class Leader {
  private readonly judge;
  private readonly known = new Map<InstanceId, Known>();
  private readonly leaseMs: number;

  constructor(
    order: RolloutOrder,
    limits: RolloutLimits,
    private readonly entries: number,
    private readonly startedAtMs: number,
  ) {
    this.judge = createRolloutJudge(order, limits, startedAtMs);
    this.leaseMs = rolloutLeaseMs(limits);
  }

  receive({evidence, sentToNew, allowedRequests, sentAtMs}: Report): void {
    const {entry, seenRequests} = evidence;
    const last = this.known.get(entry);
    const arrived = seenRequests - (last?.seen ?? seenRequests);
    this.known.set(entry, {
      granted: Math.max(last?.granted ?? 0, allowedRequests),
      sent: sentToNew,
      seen: seenRequests,
      recent: (last?.recent ?? 0) * (1 - NEWEST_WEIGHT) + arrived,
      reportedAtMs: sentAtMs,
    });
    recordEvidence(this.judge, evidence);
  }

  decide(situation: RolloutSituation, nowMs: number): RolloutDecision | void {
    const hasAll = this.known.size === this.entries;
    // Leases of the leader before have expired by then.
    if (!hasAll && nowMs < this.startedAtMs + this.leaseMs) return;
    return decide(this.judge, situation, nowMs);
  }

  /** The lease of each entry in contact; it counts from its report. */
  lease(decision: RolloutDecision, nowMs: number): Map<InstanceId, Lease> {
    const leases = new Map<InstanceId, Lease>();
    if (decision.kind !== 'continue') return leases;
    const uses = [...this.known].map(
      ([entry, {granted, sent, recent, reportedAtMs}]): EntryUse => ({
        entry,
        grantedRequests: granted,
        sentRequests: sent,
        recentRequests: recent,
        isInContact: nowMs - reportedAtMs < CONTACT_MS,
      }),
    );
    const divided = divideAllowance(decision.allowedRequests, uses);
    for (const {entry, allowedRequests, shareFactor} of divided) {
      const known = this.known.get(entry)!;
      known.granted = allowedRequests;
      const untilMs = known.reportedAtMs + this.leaseMs;
      leases.set(entry, {
        grant: decision,
        allowedRequests,
        shareFactor,
        untilMs,
      });
    }
    return leases;
  }
}

/**
 * Messages of rollouts between entries and the leader; sent as JSON, so the
 * field names are fixed.
 */
import type {
  Incarnation,
  InstanceId,
  ServiceId,
  TargetId,
} from '@samphirefield/core';
import type {EvidenceRow} from '@samphirefield/policy/rollouts';

/** The counts of an entry for one rollout, as totals since it began. */
export interface RolloutReport {
  readonly service: ServiceId;
  readonly startIndex: number;
  /** Requests for the service that arrived at the entry. */
  readonly seenRequests: number;
  /** Requests that it has granted to the new version. */
  readonly usedRequests: number;
  /** Requests that it may have granted by the end of its present lease. */
  readonly heldRequests: number;
  /** Rows that changed since the last report that was answered. */
  readonly rows: readonly EvidenceRow[];
  /** Whether it sends nothing more to old targets. */
  readonly isClosing: boolean;
  /** Its runs in progress on old targets. */
  readonly oldRuns: number;
}

/**
 * Asks the leader for leases. An entry sends the next report only after the last
 * one was answered or timed out, so a late answer is never used.
 */
export interface RolloutReportMessage {
  readonly entry: InstanceId;
  readonly incarnation: Incarnation;
  readonly reports: readonly RolloutReport[];
}

/** How an entry may use the new version for a while. */
export interface RolloutLease {
  readonly service: ServiceId;
  readonly startIndex: number;
  /** Counts from when the entry sent its report. */
  readonly leaseMs: number;
  /** Requests that the entry may send to the new version in total. */
  readonly allowedRequests: number;
  /** Share of the requests that go to the new version, within the allowance. */
  readonly sendShare: number;
  readonly targets: readonly TargetId[];
  /** Routes that need more samples; `focusShare` replaces `sendShare` there. */
  readonly focusRoutes: readonly string[];
  readonly focusShare: number;
  /**
   * Whether the rollout is about to complete: all requests go to the new
   * version, and runs on old targets move, before the old targets are stopped.
   */
  readonly isClosing: boolean;
}

export interface RolloutLeases {
  /** After a change of the term, entries report all rows again. */
  readonly term: number;
  readonly leases: readonly RolloutLease[];
}

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

/** What an entry counted for one rollout; all numbers are sums since it began. */
export interface RolloutReport {
  readonly service: ServiceId;
  readonly startIndex: number;
  readonly seenRequests: number;
  /** Requests that it has granted to the new version. */
  readonly usedRequests: number;
  /** Requests that it may have granted once its present lease ends. */
  readonly heldRequests: number;
  /** Rows that changed since the last report that was answered. */
  readonly rows: readonly EvidenceRow[];
  /** Whether it sends nothing more to old targets. */
  readonly isClosing: boolean;
  /** Its runs in progress on old targets. */
  readonly oldRuns: number;
}

/**
 * Asks the leader for leases. An entry sends the next report only after it gave
 * up waiting for the answer to the last, so an answer that is late is never used.
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
  readonly allowedRequests: number;
  readonly sendShare: number;
  readonly targets: readonly TargetId[];
  readonly focusRoutes: readonly string[];
  readonly focusShare: number;
  /**
   * Whether the rollout is about to complete: all requests go to the new
   * version, and runs on old targets move, before the old targets are stopped.
   */
  readonly isClosing: boolean;
}

export interface RolloutLeases {
  /** Rows that were reported to a leader of another term have to be sent again. */
  readonly term: number;
  readonly leases: readonly RolloutLease[];
}

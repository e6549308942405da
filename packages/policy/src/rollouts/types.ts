/**
 * Types of rollouts: shifting a service's traffic to targets of another version.
 * All that entries and the leader exchange is plain JSON.
 */
import type {
  Branded,
  Incarnation,
  InstanceId,
  ServiceId,
  TargetId,
} from '@samphirefield/core';

/** The version that a target announces. */
export type VersionId = Branded<string, 'VersionId'>;

export const versionId = (text: string): VersionId => text as VersionId;

/** Whether a target is of the ordered version (`new`) or of any other. */
export type VersionSide = 'old' | 'new';

/** What an operator ordered. Times are on the clock of the judge's caller. */
export interface RolloutOrder {
  readonly service: ServiceId;
  /** The version that is to serve alone. */
  readonly target: VersionId;
  readonly orderedAtMs: number;
  /** Order time plus duration; the rollout has ended by then. */
  readonly deadlineMs: number;
}

/** What the operators accept of a bad version. */
export interface RolloutLimits {
  /** Part of the service's requests between order and deadline. */
  readonly exposeShare: number;
  /** Requests on top of the share. */
  readonly exposeSlack: number;
  /** Time from the 50th bad response to the last request sent. */
  readonly rollbackMs: number;
}

/**
 * Sums of one route and one side since the order, as one incarnation of an entry
 * counted them. They only grow. For the new version there is one row for each
 * target; rows of the old version have no target.
 */
export interface EvidenceRow {
  readonly route: string;
  readonly side: VersionSide;
  readonly target?: TargetId;
  /** Attempts sent, whatever became of them. */
  readonly sentRequests: number;
  /**
   * Failures: 5xx of the target's own, a broken or silent connection, an
   * unreadable response.
   */
  readonly badResponses: number;
  /**
   * Attempts that ended without telling anything of the version: they did not
   * run, or the caller left. Attempts that are in neither sum are in progress.
   */
  readonly abandonedRequests: number;
  /**
   * Sound responses by latency (first byte of the body, first event of a
   * stream), indexed by `latencyBucket`; trailing zeros may be missing.
   */
  readonly latencyCounts: readonly number[];
}

/** What one incarnation of an entry reports; the newest report replaces older. */
export interface RolloutEvidence {
  readonly entry: InstanceId;
  readonly incarnation: Incarnation;
  /** Requests of the service that arrived since the order, each counted once. */
  readonly seenRequests: number;
  /** Rows may be left out while unchanged since the last acknowledged report. */
  readonly rows: readonly EvidenceRow[];
}

/** What the leader knows of the service's targets now. */
export interface RolloutSituation {
  /** Number of usable targets of other versions. */
  readonly oldTargets: number;
  /** Usable targets of the ordered version. */
  readonly newTargets: readonly TargetId[];
}

/** Why a rollout completes, is rolled back or waits. */
export type RolloutReason =
  | {readonly kind: 'as_good_as_old'; readonly responses: number}
  | {readonly kind: 'too_few_requests'; readonly responses: number}
  | {readonly kind: 'failures' | 'slowness'; readonly finding: Finding}
  | {readonly kind: 'no_targets'}
  | {
      readonly kind: 'too_few_targets';
      readonly usable: number;
      readonly needed: number;
    };

/** A difference to the old version at the same time. */
export interface Finding {
  /** Undefined: over all routes. */
  readonly route?: string;
  readonly responses: number;
  /** Bad or slow ones among the responses. */
  readonly bad: number;
  /** As many as the old version would have had. */
  readonly expectedBad: number;
  readonly targets: number;
}

/** How entries use the new version until the next decision. */
export interface RolloutGrant {
  readonly kind: 'continue';
  /** Requests that all entries together may have sent since the order. */
  readonly allowedRequests: number;
  /**
   * Probability with which an entry sends a request to the new version while its
   * allowance lasts, so that an allowance isn't spent as a burst.
   */
  readonly sendShare: number;
  /**
   * Targets to concentrate on, so that they are as loaded as old ones. Targets
   * of the new version that aren't listed get nothing.
   */
  readonly targets: readonly TargetId[];
  /**
   * Routes that need more samples; for these `focusShare` holds instead of
   * `sendShare`. The allowance bounds both.
   */
  readonly focusRoutes: readonly string[];
  readonly focusShare: number;
  readonly stage: RolloutStage;
}

/** `waiting`: no targets. `holding`: nothing is granted until more is known. */
export type RolloutStage = 'waiting' | 'growing' | 'full' | 'holding';

export type RolloutDecision =
  | RolloutGrant
  | {readonly kind: 'complete'; readonly reason: RolloutReason}
  | {readonly kind: 'roll_back'; readonly reason: RolloutReason};

/** What the leader knows of one entry when it divides the allowance. */
export interface EntryUse {
  readonly entry: InstanceId;
  /**
   * Requests that the entry may have sent since the order: the highest number
   * that was ever granted to it and isn't confirmed as withdrawn.
   */
  readonly grantedRequests: number;
  /** Requests that it reported as sent; not above `grantedRequests`. */
  readonly sentRequests: number;
  /** Requests of the service that arrived there recently: its weight. */
  readonly recentRequests: number;
  /** Whether it is in contact and can use a grant; others keep theirs. */
  readonly isInContact: boolean;
}

/** The number of requests that an entry may have sent since the order. */
export interface EntryAllowance {
  readonly entry: InstanceId;
  readonly allowedRequests: number;
  /**
   * The entry multiplies `sendShare` and `focusShare` by this, up to 1: above 1
   * while only a part of the entries has an allowance.
   */
  readonly shareFactor: number;
}

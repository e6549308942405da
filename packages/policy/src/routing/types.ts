/** The choice of a target for one request. */
import type {TargetId, ZoneId} from '@samphirefield/core';

/**
 * A target as one entry sees it. The owner of the row keeps it up to date, so
 * that a decision only reads.
 */
export interface Candidate {
  readonly target: TargetId;
  readonly zone: ZoneId;
  isOutOfService: boolean;
  isDraining: boolean;
  /** Not chosen before this, after it failed here. */
  avoidUntilMs: number;
  /** Free places of this entry's own allotment. */
  freeSlots: number;
  freeKvTokens: number;
  /** The fuller of slots and memory, as a share from 0 up. */
  load: number;
  /** Whether a suspect request is running there. */
  runsSuspect: boolean;
}

/** The candidates of one kind of request, with their places on a hash ring. */
export interface CandidateList {
  readonly candidates: readonly Candidate[];
  readonly ring: readonly RingPoint[];
}

export interface RingPoint {
  readonly hash: number;
  readonly candidate: Candidate;
}

export interface RoutedRequest {
  readonly kvNeedTokens: number;
  /** Hash of the prompt's start; empty when the service has no affinity. */
  readonly prefix: string;
  /** Targets that are said to hold this prefix in their cache. */
  readonly cachedOn: ReadonlySet<TargetId> | undefined;
  readonly isSuspect: boolean;
  readonly excluded: ReadonlySet<TargetId>;
}

export type RejectReason =
  | 'out_of_service'
  | 'leaving'
  | 'avoided'
  | 'tried_before'
  | 'runs_suspect'
  | 'no_free_slot'
  | 'no_free_memory';

export interface RunnerUp {
  readonly target: TargetId;
  readonly reason: RejectReason | 'more_loaded';
}

export type RouteReason = 'prefix_cached' | 'prefix_home' | 'least_loaded';

export type RouteDecision =
  | {
      readonly kind: 'chosen';
      readonly target: TargetId;
      readonly reason: RouteReason;
      readonly runnersUp: readonly RunnerUp[];
    }
  | {readonly kind: 'none'; readonly rejected: readonly RunnerUp[]};

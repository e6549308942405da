/** Types of the choice of a target for one request. */
import type {TargetId, ZoneId} from '@samphirefield/core';

/**
 * A target from the view of one entry. The entry keeps the fields up to date, so
 * that a decision only reads them.
 */
export interface Candidate {
  readonly target: TargetId;
  readonly zone: ZoneId;
  isOutOfService: boolean;
  isDraining: boolean;
  /** Not chosen before this time, set after a failure at this entry. */
  avoidUntilMs: number;
  /** Free slots in this entry's allocation. */
  freeSlots: number;
  /** Free KV cache in this entry's allocation. */
  freeKvTokens: number;
  /** The larger of the used shares of slots and KV cache, from 0 up. */
  load: number;
  /** Whether a suspect request is running on the target. */
  runsSuspect: boolean;
}

/** The candidates for one kind of request, with their points on a hash ring. */
export interface CandidateList {
  readonly candidates: readonly Candidate[];
  readonly ring: readonly RingPoint[];
}

export interface RingPoint {
  readonly hash: number;
  readonly candidate: Candidate;
}

/** The properties of a request that routing depends on. */
export interface RoutedRequest {
  readonly kvNeedTokens: number;
  /** Hash of the prompt's start; empty when the service has no affinity. */
  readonly prefix: string;
  /** Targets that reported this prefix in their cache. */
  readonly cachedOn: ReadonlySet<TargetId> | undefined;
  readonly isSuspect: boolean;
  /** Targets that an earlier attempt of this request used. */
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

/** A candidate that was not chosen, and why. */
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

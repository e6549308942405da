/** The choice of a target for one request. */
import type {TargetId, ZoneId} from '@samphirefield/core';

/** A target as one entry sees it at the time of the choice. */
export interface Candidate {
  readonly target: TargetId;
  readonly zone: ZoneId;
  readonly isOutOfService: boolean;
  readonly isLeaving: boolean;
  /** Seen failing by this entry a moment ago. */
  readonly isAvoided: boolean;
  readonly holdsModel: boolean;
  /** Free places of this entry's own allotment. */
  readonly freeSlots: number;
  readonly freeKvTokens: number;
  /** Requests in progress here, from this entry and, lately, from others. */
  readonly runningRequests: number;
  readonly slots: number;
  readonly kvUsedTokens: number;
  readonly kvTokens: number;
  readonly holdsPrefix: boolean;
  /** Whether a suspect request is running there. */
  readonly runsSuspect: boolean;
}

export interface RoutedRequest {
  readonly kvNeedTokens: number;
  /** Hash of the prompt's start; empty when the service has no affinity. */
  readonly prefix: string;
  readonly isSuspect: boolean;
  readonly excluded: ReadonlySet<TargetId>;
}

export type RejectReason =
  | 'out_of_service'
  | 'leaving'
  | 'avoided'
  | 'lacks_model'
  | 'tried_before'
  | 'runs_suspect'
  | 'no_free_slot'
  | 'no_free_memory';

export interface RunnerUp {
  readonly target: TargetId;
  readonly reason: RejectReason | 'more_loaded';
}

export type RouteDecision =
  | {
      readonly kind: 'chosen';
      readonly target: TargetId;
      readonly reason: 'prefix_cached' | 'prefix_home' | 'least_loaded';
      readonly runnersUp: readonly RunnerUp[];
    }
  | {readonly kind: 'none'; readonly rejected: readonly RunnerUp[]};

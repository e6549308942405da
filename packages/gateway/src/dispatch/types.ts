/** Demands for reservations on targets, and the dispatcher's results. */
import type {
  InstanceId,
  RequestId,
  ServiceId,
  TargetId,
  WorkspaceId,
  ZoneId,
} from '@samphirefield/core';

/** A request for a reservation on a target of a service. */
export interface Demand {
  readonly request: RequestId;
  readonly service: ServiceId;
  /** The daemon that sends the demand, and its availability zone. */
  readonly entry: InstanceId;
  readonly zone: ZoneId;
  /**
   * A target in another zone is chosen only if its load is lower by this share
   * of its capacity, in [0, 1].
   */
  readonly otherZonePenalty: number;
  /** Expected KV cache on an engine, in tokens; 0 on plain services. */
  readonly kvTokens: number;
  /** Prompt tokens that an engine has to prefill; 0 on plain services. */
  readonly prefillTokens: number;
  /**
   * Whether the run has begun on a target that it has to leave; it goes before
   * all demands that have not, since it would be lost with its work.
   */
  readonly isRunning: boolean;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** The workspace that shares the queue with others; undefined: none. */
  readonly workspace: WorkspaceId | undefined;
  /** After this wait the request can no longer be served in time. */
  readonly inTimeMs: number;
  /**
   * How long the demand waits for free capacity before it uses a full plain
   * target. Engines are never filled beyond their capacity.
   */
  readonly patienceMs: number;
  /** How long the demand may wait while no target is usable. */
  readonly noTargetWaitMs: number;
  /** How long the demand may wait for any reservation. */
  readonly maxWaitMs: number;
  /**
   * Time until the caller's deadline. This and the next three are for admission
   * control; daemons of earlier builds leave them out.
   */
  readonly deadlineInMs?: number;
  readonly promptTokens?: number;
  /** KV cache with the longest output that the caller allows. */
  readonly maxKvTokens?: number;
  /** How long the run has been on engines. */
  readonly ranForMs?: number;
  readonly excluded: readonly TargetId[];
  /** Name of the request's route; daemons of earlier builds leave it out. */
  readonly route?: string;
  /**
   * Set by the entry if a rollout granted it the request, which may then go to
   * the new version.
   */
  readonly rolloutSide?: 'new';
}

/** How much load the targets of a service accept. */
export interface ServiceCapacity {
  readonly service: ServiceId;
  /** KV cache of one target in tokens; undefined on plain services. */
  readonly kvTokens: number | undefined;
  /** Whether runs move off a leaving target; default: yes. */
  readonly canMove?: boolean;
  /**
   * New requests per second that a cold target accepts; 0: it is never cold.
   */
  readonly coldRequestsPerS: number;
}

export type DispatchRefusal =
  /** No target of the service is usable. */
  | 'no_target'
  /** The demand excludes every usable target. */
  | 'all_tried'
  /** Every usable target stayed full for as long as the request could wait. */
  | 'crowded';

export type DispatchResult =
  | {readonly kind: 'granted'; readonly target: TargetId}
  | {
      readonly kind: 'refused';
      readonly reason: DispatchRefusal;
      /** When a place is expected; undefined if that cannot be estimated. */
      readonly retryAfterMs: number | undefined;
    };

/** How a granted run ended, as far as it concerns its target. */
export type RunOutcome =
  | 'served'
  /** The target stated that it did not run the request. */
  | 'rejected'
  /** The target responded with a complete failure response. */
  | 'failure_response'
  /** The target responded incompletely or not at all: it may still run. */
  | 'failed'
  | 'not_connected'
  /** The place was not used: the target has received nothing. */
  | 'not_sent'
  /** The caller disconnected after the request was sent: it may still run. */
  | 'abandoned';

/** What a request asks of a target, and what the dispatcher decides. */
import type {
  InstanceId,
  RequestId,
  ServiceId,
  TargetId,
  ZoneId,
} from '@samphirefield/core';

/** A request that wants a place on a target of a service. */
export interface Demand {
  readonly request: RequestId;
  readonly service: ServiceId;
  /** The daemon that sends it, and its availability zone. */
  readonly entry: InstanceId;
  readonly zone: ZoneId;
  /** How much emptier, of 1, a target in another zone has to be. */
  readonly otherZonePenalty: number;
  /** Memory it is expected to need on an engine; 0 on plain services. */
  readonly kvTokens: number;
  /** Prompt that the engine has to read first; 0 on plain services. */
  readonly prefillTokens: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** How long it may wait for a fitting place before it takes a crowded one. */
  readonly patienceMs: number;
  /** How long it may wait while no target may be used. */
  readonly noTargetWaitMs: number;
  /** How long it may wait for any place at all. */
  readonly maxWaitMs: number;
  readonly excluded: readonly TargetId[];
}

/** How a service's targets may be loaded. */
export interface ServiceCapacity {
  readonly service: ServiceId;
  /** Memory of one target in tokens; undefined on plain services. */
  readonly kvTokens: number | undefined;
  /** New requests per second that a cold target bears; 0: it is never cold. */
  readonly coldRequestsPerS: number;
}

export type DispatchRefusal =
  /** No target of the service may be used. */
  | 'no_target'
  /** Each usable target is among those that the demand excludes. */
  | 'all_tried'
  /** Every usable target stayed full for as long as the request could wait. */
  | 'crowded';

export type DispatchResult =
  | {readonly kind: 'granted'; readonly target: TargetId}
  | {readonly kind: 'refused'; readonly reason: DispatchRefusal};

/** How a granted run ended, as far as it tells of its target. */
export type RunOutcome =
  | 'served'
  /** The target said that it did not run the request. */
  | 'rejected'
  /** It answered with a failure, broke off or sent no answer. */
  | 'failed'
  | 'not_connected'
  /** The caller left, or the request was never sent. */
  | 'abandoned';

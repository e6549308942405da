/**
 * Observes how the attempts of requests end, so that a rollout can compare the
 * versions of their targets.
 */
import type {ServiceId, TargetId} from '@samphirefield/core';
import type {Classification} from './classify-result.js';
import type {AttemptResult} from './target-attempt.js';

/**
 * How an attempt ended. `void`: the end is no evidence about the target, since
 * it did not run the request or the caller did not wait for the response.
 */
export type ObservedEnd = 'sound' | 'bad' | 'void';

/** One attempt that was sent to a target. */
export interface ObservedRun {
  /** The body, or the first event, of a response that may be sound began. */
  noteAnswer(latencyMs: number): void;
  /** The run continues on another target. */
  noteMove(target: TargetId): void;
  noteEnd(end: ObservedEnd): void;
}

export interface RunObserver {
  /** Counts a request that reached its service. */
  recordArrival(service: ServiceId): void;
  /** Whether a target that was reserved may still be used. */
  mayUse(target: TargetId): boolean;
  /** Begins to observe an attempt that is sent now. */
  startRun(route: string, service: ServiceId, target: TargetId): ObservedRun;
}

const UNOBSERVED: ObservedRun = {
  noteAnswer: () => undefined,
  noteMove: () => undefined,
  noteEnd: () => undefined,
};

export const NO_OBSERVER: RunObserver = {
  recordArrival: () => undefined,
  mayUse: () => true,
  startRun: () => UNOBSERVED,
};

/** `hasTimedOut`: the request's deadline ended the attempt, not its caller. */
export function observedEndOf(
  result: AttemptResult,
  {outcome}: Classification,
  hasTimedOut: boolean,
): ObservedEnd {
  if (result.kind === 'ended') return hasTimedOut ? 'bad' : 'void';
  if (outcome === 'served') return 'sound';
  const isBad = result.kind === 'lost' || outcome === 'failure_response';
  return isBad ? 'bad' : 'void';
}

/**
 * Observes what becomes of the attempts of requests, by the version of their
 * target. A rollout compares versions by it.
 */
import type {ServiceId, TargetId} from '@samphirefield/core';
import type {Classification} from './classify-result.js';
import type {AttemptResult} from './target-attempt.js';

/**
 * How an attempt ended. `void`: it tells nothing of the target, which did not
 * run the request, or whose response the caller did not wait for.
 */
export type ObservedEnd = 'sound' | 'bad' | 'void';

/** One attempt that was sent to a target. */
export interface ObservedRun {
  /** The body, or the first event, of a sound response began. */
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
  return outcome === 'failed' ? 'bad' : 'void';
}

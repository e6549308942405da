/**
 * What admission control knows of requests that ask for KV cache of engines.
 *
 * Designed for the load where callers compete for too little KV cache all day:
 * many short urgent requests, and few long ones with a looser objective that
 * hold two to three times the KV cache for 10 to 100 times as long.
 */
import type {RequestId, WorkspaceId} from '@samphirefield/core';

export interface AdmissionRequest {
  readonly request: RequestId;
  readonly workspace: WorkspaceId | undefined;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Expected KV cache, with that of the output. */
  readonly kvTokens: number;
  readonly prefillTokens: number;
  /** After this wait the request can no longer be served in time. */
  readonly inTimeMs: number;
  /** How long the request may wait for any engine. */
  readonly maxWaitMs: number;
  /** Time until the caller's deadline; undefined: not known. */
  readonly deadlineInMs?: number | undefined;
}

/** A request that waits, and its place in the order. */
export interface Waiting<R extends AdmissionRequest> {
  readonly request: R;
  readonly sequence: number;
  readonly sinceMs: number;
  /** When the caller asked first; earlier if it returned after a refusal. */
  readonly firstAskedAtMs: number;
  /** When the request can no longer be served in time. */
  readonly dueAtMs: number;
  /** When the request is refused. */
  readonly endsAtMs: number;
  /** Lower goes first among the requests of a priority. */
  readonly orderKey: number;
  isOverdue: boolean;
}

/** Whether a request that cannot start now waits. */
export type ArrivalDecision =
  | {readonly kind: 'wait'; readonly expectedWaitMs: number | undefined}
  | {
      readonly kind: 'refuse';
      /** When a request like this one is expected to be served. */
      readonly retryAfterMs: number;
    };

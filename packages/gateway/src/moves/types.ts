/** Types of moves: a running generation moves with its KV cache to a target. */
import type {TargetId} from '@samphirefield/core';
import type {UpstreamAddress} from '../upstream/index.js';

/** A source's response to a request to copy the KV cache of a run. */
export type CopyResponse =
  /** The copy is complete; `handle` identifies it on the source. */
  | {readonly kind: 'copied'; readonly handle: string}
  /** The source does not run this request (yet). */
  | {readonly kind: 'no_run'}
  /** The source cannot copy at the moment. */
  | {readonly kind: 'busy'}
  /**
   * The destination has no free capacity or is unreachable. The source keeps
   * the KV cache; `handle` identifies it if the run was stopped.
   */
  | {readonly kind: 'refused'; readonly handle: string | undefined}
  /** The source did not respond, or not in the protocol. */
  | {readonly kind: 'unreachable'; readonly reason: string};

/** A target and its address. */
export interface TargetEndpoint {
  readonly target: TargetId;
  readonly address: UpstreamAddress;
}

/** Calls on targets that copy KV caches between them. */
export interface KvCacheMover {
  /**
   * Copies the KV cache of the run that serves the caller's attempt. With
   * `isLast` the run stops first, and its stream closes before its end.
   */
  copy(
    source: UpstreamAddress,
    attemptId: string,
    destination: UpstreamAddress,
    isLast: boolean,
    timeoutMs: number,
  ): Promise<CopyResponse>;
  /** Frees a copy that will not be used, on the source and the destination. */
  drop(source: UpstreamAddress, handle: string): void;
}

/**
 * The target on which a generation resumes, and the KV cache it resumes from.
 */
export interface ResumePoint extends TargetEndpoint {
  /** The source of the copy, which issued the handle. */
  readonly from: UpstreamAddress;
  readonly handle: string;
}

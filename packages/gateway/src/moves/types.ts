/** Moving a running generation from one target to another. */
import type {TargetId} from '@samphirefield/core';
import type {UpstreamAddress} from '../upstream/index.js';

/** What a target answers to a copy of a run's memory. */
export type CopyResponse =
  /** The copy is complete; `handle` names it at the source. */
  | {readonly kind: 'copied'; readonly handle: string}
  /** The target runs no such request (yet). */
  | {readonly kind: 'no_run'}
  | {readonly kind: 'busy'}
  /**
   * No room, or the destination is unreachable; the source keeps the memory.
   */
  | {readonly kind: 'refused'; readonly handle: string | undefined}
  | {readonly kind: 'unreachable'; readonly reason: string};

/** A target that has, or may get, a run's memory. */
export interface TargetEndpoint {
  readonly target: TargetId;
  readonly address: UpstreamAddress;
}

/** The calls on targets that move memory between them. */
export interface KvCacheMover {
  /**
   * With `isLast` the run stops first and its stream closes without its end.
   */
  copy(
    source: UpstreamAddress,
    attempt: string,
    destination: UpstreamAddress,
    isLast: boolean,
    timeoutMs: number,
  ): Promise<CopyResponse>;
  /** Frees a copy that nobody will use, at both ends. */
  drop(source: UpstreamAddress, handle: string): void;
}

/** Where a generation goes on, and from which memory. */
export interface ResumePoint extends TargetEndpoint {
  /** The holder of the handle: the source of the copy. */
  readonly from: UpstreamAddress;
  readonly handle: string;
}

/** How a dispatcher keeps to what targets state of themselves. */
import type {TargetId} from '@samphirefield/core';
import type {TargetAnnouncement} from '../registry/index.js';
import type {RunOutcome} from './types.js';

export interface TargetLimiter {
  /** Whether a request may be sent to the target now. */
  maySend(target: TargetId, nowMs: number): boolean;
  /** Counts a request that is sent now. */
  recordSend(target: TargetId, nowMs: number): void;
  /** A request could be sent to the target but for its limit. */
  want(target: TargetId, nowMs: number): void;
  /** Whether the target said that it leaves. */
  isLeaving(target: TargetId): boolean;
  /** This dispatcher's part of the target's limit; undefined: no limit. */
  expectedPerS(target: TargetId): number | undefined;
  /**
   * Most runs that this dispatcher may have at the target; undefined: as many as
   * its load allows.
   */
  maxRuns(target: TargetAnnouncement, nowMs: number): number | undefined;
  /** Records how a run ended, and how many others are left at the target. */
  recordEnd(
    target: TargetAnnouncement,
    outcome: RunOutcome,
    runsLeft: number,
    nowMs: number,
  ): void;
}

export const NO_LIMITS: TargetLimiter = {
  maySend: () => true,
  recordSend: () => undefined,
  want: () => undefined,
  isLeaving: () => false,
  expectedPerS: () => undefined,
  maxRuns: () => undefined,
  recordEnd: () => undefined,
};

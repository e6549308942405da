/** What a dispatcher knows of how fast targets work now. */
import type {ServiceId} from '@samphirefield/core';
import type {TargetStart} from '@samphirefield/policy/quarantine';

export interface TargetSpeeds {
  /** Whether targets of the service state how fast they work. */
  isPaced(service: ServiceId, nowMs: number): boolean;
  /**
   * How long work that usually takes `workMs` will take on this start of the
   * target, in multiples of the usual.
   */
  durationFactor(start: TargetStart, workMs: number, nowMs: number): number;
  /**
   * By how much the target is busier than the others of its service with
   * requests that the dispatcher has no record of, as a share of its slots.
   */
  excessLoad(start: TargetStart, nowMs: number): number;
}

/** For targets that state nothing: every decision is as without speeds. */
export const NO_SPEEDS: TargetSpeeds = {
  isPaced: () => false,
  durationFactor: () => 1,
  excessLoad: () => 0,
};

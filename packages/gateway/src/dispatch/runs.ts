/**
 * The runs that a dispatcher granted. Under admission control their reservations
 * are corrected as they run.
 */
import type {InstanceId, RequestId, TargetId} from '@samphirefield/core';
import {
  correctedKvTokens,
  prefillSample,
  type PrefillSample,
  type ReservedRun,
} from '@samphirefield/policy/admission';
import type {Demand} from './types.js';

export interface Run {
  readonly request: RequestId;
  readonly entry: InstanceId;
  readonly target: TargetId;
  readonly kvTokens: number;
  /** Corrects a run that may outgrow its reservation; undefined: not corrected. */
  readonly reservation?: ReservedRun;
  /** Set if the time of the run shows how fast its engine prefills. */
  readonly prefill?: PrefillSample | undefined;
}

/** The run of a demand that is granted now. */
export function runOf(demand: Demand, target: TargetId): Run {
  const {request, entry, kvTokens} = demand;
  return {request, entry, target, kvTokens};
}

/**
 * The same, with what corrects its reservation if the demand has the token counts
 * for that.
 */
export function correctableRunOf(
  demand: Demand,
  target: TargetId,
  tokensAhead: number,
  nowMs: number,
): Run {
  const {prefillTokens} = demand;
  const prefill = prefillSample(
    demand.kvTokens,
    prefillTokens,
    tokensAhead,
    nowMs,
  );
  const run = {...runOf(demand, target), prefill};
  const {kvTokens, promptTokens, maxKvTokens, ranForMs = 0} = demand;
  if (promptTokens === undefined || maxKvTokens === undefined) return run;
  const startedAtMs = nowMs - ranForMs;
  const reservation = {promptTokens, maxKvTokens, kvTokens, startedAtMs};
  return {...run, reservation};
}

/** The run with a larger reservation; undefined if it has not outgrown it. */
export function grownRun(run: Run, nowMs: number): Run | undefined {
  const {reservation} = run;
  if (reservation === undefined) return undefined;
  const kvTokens = correctedKvTokens(reservation, nowMs);
  if (kvTokens <= run.kvTokens) return undefined;
  return {...run, kvTokens, reservation: {...reservation, kvTokens}};
}

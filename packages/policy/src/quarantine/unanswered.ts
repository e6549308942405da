/**
 * Runs that ended without an answer: lost, left by their caller, or timed out.
 * They become suspects once their target is known to have crashed, which may be
 * seconds later: a target that ends silently shows it by a new start only, or by
 * its silence.
 */
import type {Fingerprint, TargetId} from '@samphirefield/core';
import type {CrashId, RequestTrait} from './types.js';

/** A crash that shows later than this is blamed on no earlier run. */
const KEEP_MS = 10_000;
const MAX_RUNS = 1_024;

/** One start of a target. */
export interface TargetStart {
  readonly target: TargetId;
  /** Unix time (ms) of the start; 0 if it is unknown. */
  readonly bornMs: number;
}

const UNKNOWN_START = '/0';

/** The name of the crash that ends a start. */
export function crashIdOf({target, bornMs}: TargetStart): CrashId {
  return `${target}/${bornMs}`;
}

/** Whether the name tells this crash from others of the target. */
export function hasStart(crash: CrashId): boolean {
  return !crash.endsWith(UNKNOWN_START);
}

export interface UnansweredRun {
  readonly start: TargetStart;
  readonly traits: readonly RequestTrait[];
  /** The quarantined suspects that the run was a trial of. */
  readonly trialOf: readonly Fingerprint[];
  /** Whether the run was the only one of watched suspects. */
  readonly wasAlone: boolean;
  readonly endedAtMs: number;
}

export interface UnansweredRuns {
  /** The oldest first. */
  runs: readonly UnansweredRun[];
}

export function createUnansweredRuns(): UnansweredRuns {
  return {runs: []};
}

export function noteUnanswered(
  table: UnansweredRuns,
  run: UnansweredRun,
): void {
  const oldestMs = run.endedAtMs - KEEP_MS;
  const recent = table.runs.filter(({endedAtMs}) => endedAtMs >= oldestMs);
  table.runs = [...recent, run].slice(-MAX_RUNS);
}

/** Removes and returns the runs that this start did not answer before its end. */
export function takeUnanswered(
  table: UnansweredRuns,
  {target, bornMs}: TargetStart,
  nowMs: number,
): UnansweredRun[] {
  const oldestMs = nowMs - KEEP_MS;
  const isOfStart = ({start}: UnansweredRun) =>
    start.target === target && start.bornMs === bornMs;
  const taken = table.runs.filter(isOfStart);
  table.runs = table.runs.filter(run => !isOfStart(run));
  return taken.filter(({endedAtMs}) => endedAtMs >= oldestMs);
}

/**
 * Ends a quarantine by itself: after a delay one request with the quarantined
 * suspect is let through, on trial. If a target answers it, the suspect is
 * released; if the target crashes, the delay grows. Delays are counted on the
 * clock of this process, from when it learned of the quarantine or of the last
 * failed trial.
 */
import type {Fingerprint} from '@samphirefield/core';
import type {QuarantinedView, QuarantineView} from './types.js';

const FIRST_TRIAL_AFTER_MS = 30_000;
const DELAY_FACTOR = 4;
const MAX_DELAY_MS = 3_600_000;
/** A trial without an outcome for this long is forgotten. */
const TRIAL_MAX_MS = 20_000;

interface TrialRow {
  readonly failedTrials: number;
  readonly sinceMs: number;
  trialAtMs: number | undefined;
}

export type TrialTable = Map<Fingerprint, TrialRow>;

export function createTrials(): TrialTable {
  return new Map();
}

function delayMs(failedTrials: number): number {
  return Math.min(
    MAX_DELAY_MS,
    FIRST_TRIAL_AFTER_MS * DELAY_FACTOR ** failedTrials,
  );
}

/** Follows the quarantine; starts the delay of what is new in it. */
export function followQuarantine(
  trials: TrialTable,
  quarantined: QuarantineView['quarantined'],
  nowMs: number,
): void {
  const present = new Set(quarantined.map(row => row.fingerprint));
  for (const fingerprint of trials.keys()) {
    if (!present.has(fingerprint)) trials.delete(fingerprint);
  }
  for (const row of quarantined) {
    if (trials.get(row.fingerprint)?.failedTrials === row.failedTrials)
      continue;
    trials.set(row.fingerprint, startDelay(row, nowMs));
  }
}

function startDelay({failedTrials}: QuarantinedView, nowMs: number): TrialRow {
  return {failedTrials, sinceMs: nowMs, trialAtMs: undefined};
}

/** Time until the next trial may begin; 0 if it may begin now. */
export function msUntilTrial(
  trials: TrialTable,
  fingerprint: Fingerprint,
  nowMs: number,
): number {
  const row = trials.get(fingerprint);
  if (row === undefined) return 0;
  const delayEndMs = row.sinceMs + delayMs(row.failedTrials);
  const trialEndMs = (row.trialAtMs ?? -Infinity) + TRIAL_MAX_MS;
  return Math.max(0, delayEndMs - nowMs, trialEndMs - nowMs);
}

/** Begins a trial; returns false if none may begin now. */
export function beginTrial(
  trials: TrialTable,
  fingerprint: Fingerprint,
  nowMs: number,
): boolean {
  if (msUntilTrial(trials, fingerprint, nowMs) > 0) return false;
  const row = trials.get(fingerprint);
  if (row) row.trialAtMs = nowMs;
  return row !== undefined;
}

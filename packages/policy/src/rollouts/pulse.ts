/**
 * Pulses of load: what may be sent is saved and then spent on so few targets that
 * each is loaded as it will be once the new version serves alone. A version that
 * is bad under load only shows there before it completes.
 */
import type {TargetId} from '@samphirefield/core';
import type {RolloutLimits} from './types.js';

/** Load of a target in a pulse, in parts of what it is to carry in the end. */
const PULSE_LOAD = 1.1;
/** Part of the allowance that pulses may use; the rest is sent evenly. */
export const PULSE_PART = 0.75;
/** Several pulses tell a faulty target from a bad version. */
const PULSES = 4;
/** Fewer, longer pulses are better than some in which no load builds up. */
const MIN_PULSES = 2;
const MIN_PULSE_MS = 1_000;
const MAX_PULSE_MS = 4_000;
/** Length of pulses while a target is suspected, to see others soon. */
const SUSPECT_PULSE_MS = 1_000;
/** Time after each pulse in which requests go to all targets. */
const PAUSE_MS = 500;
/** A pulse ends when less than this part of it is left unspent. */
const PULSE_REST = 0.1;
/** Time from the start of a pulse until its load has built up and is reported. */
const LOADING_MS = 500;
/** Requests of a pulse are reported this long after they ended. */
const REPORTED_MS = 400;
/** Part of a pulse's requests that is enough to begin a hurried one. */
const HURRIED_PART = 0.5;
const MS_PER_S = 1_000;

export interface Pulse {
  /** Number of targets that are loaded. */
  readonly targets: number;
  /** Part of all requests that goes to them. */
  readonly share: number;
  readonly requests: number;
  readonly lengthMs: number;
  /** Number of targets that serve if the version completes. */
  readonly serving: number;
}

/** Least part of the load at which a target counts as loaded. */
const LOADED_PART = 0.5;
const SENT_HALF_LIFE_MS = 400;

interface LoadedTime {
  readonly sinceMs: number;
  untilMs: number;
  /** The rate from which on the target counts as loaded. */
  readonly neededPerS: number;
}

export interface PulseState {
  running: {readonly pulse: Pulse; readonly sinceMs: number} | undefined;
  /** When the last pulse ended. */
  endedAtMs: number;
  /** When each target was loaded last. */
  readonly loaded: Map<TargetId, LoadedTime>;
  /** Attempts a second that were sent to each target recently. */
  readonly sentPerS: Map<TargetId, number>;
  /** Fewest serving targets whose part of the load one of them has carried. */
  provenServing: number;
}

export function createPulseState(): PulseState {
  return {
    running: undefined,
    endedAtMs: -Infinity,
    loaded: new Map(),
    sentPerS: new Map(),
    provenServing: Infinity,
  };
}

/** What is known of the rollout's traffic when a pulse is planned. */
export interface Traffic {
  readonly seenRequests: number;
  readonly ratePerS: number;
  readonly peakPerS: number;
  readonly analysisMs: number;
  readonly leftMs: number;
}

export function planPulse(
  {analysisMs, leftMs, peakPerS, ratePerS, seenRequests}: Traffic,
  serving: number,
  {exposeShare, exposeSlack}: RolloutLimits,
): Pulse {
  const coming = (ratePerS * Math.max(0, leftMs)) / MS_PER_S;
  const all = Math.max(1, seenRequests + coming);
  const total = exposeShare * all + exposeSlack;
  const affordable = Math.min(1, total / all) * serving;
  const load = PULSE_LOAD * Math.max(1, peakPerS / Math.max(1, ratePerS));
  const targets = Math.max(1, Math.floor(affordable / load));
  const share = Math.min(1, (load * targets) / serving);
  const perS = Math.max(1, ratePerS * share);
  const totalMs = (PULSE_PART * total * MS_PER_S) / perS;
  const lengthMs = Math.min(
    MAX_PULSE_MS,
    Math.max(MIN_PULSE_MS, Math.min(totalMs, analysisMs) / PULSES),
    totalMs / MIN_PULSES,
  );
  const requests = (perS * lengthMs) / MS_PER_S;
  return {targets, share, requests, lengthMs, serving};
}

/** Whether the running pulse is over. */
function isOver(
  {running}: PulseState,
  unspent: number,
  isSuspected: boolean,
  nowMs: number,
): boolean {
  if (!running) return false;
  const {pulse, sinceMs} = running;
  const lengthMs = isSuspected
    ? Math.min(SUSPECT_PULSE_MS, pulse.lengthMs)
    : pulse.lengthMs;
  return nowMs - sinceMs >= lengthMs || unspent <= PULSE_REST * pulse.requests;
}

/**
 * Ends and begins pulses; returns whether one begins now, whose targets have to
 * be chosen.
 */
export function updatePulse(
  state: PulseState,
  pulse: Pulse,
  unspent: number,
  {isSuspected, leftMs}: {isSuspected: boolean; leftMs: number},
  nowMs: number,
): boolean {
  if (isOver(state, unspent, isSuspected, nowMs)) {
    state.running = undefined;
    state.endedAtMs = nowMs;
  }
  const isPausing = nowMs - state.endedAtMs < PAUSE_MS;
  if (state.running || isPausing) return false;
  // To follow up a suspicion, or near the end, a smaller pulse is better than none.
  const isHurried = isSuspected || leftMs < 2 * pulse.lengthMs;
  if (unspent < pulse.requests * (isHurried ? HURRIED_PART : 1)) return false;
  state.running = {pulse, sinceMs: nowMs};
  return true;
}

/** Measures what was sent to each target since the last call. */
export function measureSent(
  {sentPerS}: PulseState,
  sent: ReadonlyMap<TargetId, number>,
  passedMs: number,
): void {
  if (passedMs <= 0) return;
  const keep = 0.5 ** (passedMs / SENT_HALF_LIFE_MS);
  for (const target of new Set([...sentPerS.keys(), ...sent.keys()])) {
    const nowPerS = ((sent.get(target) ?? 0) * MS_PER_S) / passedMs;
    const perS = (sentPerS.get(target) ?? 0) * keep + nowPerS * (1 - keep);
    if (perS > 0.01) sentPerS.set(target, perS);
    else sentPerS.delete(target);
  }
}

/** Notes which targets are loaded until the next decision. */
export function noteLoaded(
  state: PulseState,
  targets: readonly TargetId[],
  ratePerS: number,
  nowMs: number,
): void {
  const {running, loaded} = state;
  if (!running) return;
  const {sinceMs} = running;
  const {serving} = running.pulse;
  const neededPerS = (LOADED_PART * ratePerS) / serving;
  for (const target of targets) {
    const known = loaded.get(target);
    if (known?.sinceMs === sinceMs) known.untilMs = nowMs;
    else loaded.set(target, {sinceMs, untilMs: nowMs, neededPerS});
    if (loadOf(state, target, 0, nowMs) === 'loaded')
      state.provenServing = Math.min(state.provenServing, serving);
  }
}

/**
 * Whether a target's responses that are reported now were sent under load, without
 * it, or in between.
 */
export function loadOf(
  {loaded, sentPerS}: PulseState,
  target: TargetId,
  usualMs: number,
  nowMs: number,
): 'loaded' | 'unloaded' | 'unclear' {
  const time = loaded.get(target);
  if (!time) return 'unloaded';
  const {neededPerS, sinceMs, untilMs} = time;
  const sinceEndMs = nowMs - untilMs;
  if (sinceEndMs > 2 * (REPORTED_MS + usualMs)) return 'unloaded';
  const isRunning = sinceEndMs < REPORTED_MS;
  const isLoaded = !isRunning || (sentPerS.get(target) ?? 0) >= neededPerS;
  const isReported =
    nowMs - sinceMs >= LOADING_MS && sinceEndMs <= REPORTED_MS + usualMs;
  return isLoaded && isReported ? 'loaded' : 'unclear';
}

/**
 * How entries use the new version: at which pace, on which targets and with which
 * routes. The granted requests load few targets as heavily as old ones, since a
 * version may be bad under load only.
 */
import type {TargetId} from '@samphirefield/core';
import {allowedRequests, analysisEndMs, usedShare} from './exposure.js';
import type {
  RolloutGrant,
  RolloutLimits,
  RolloutOrder,
  RolloutSituation,
} from './types.js';

/** How much more often requests of focused routes go to the new version. */
export const FOCUS_FACTOR = 4;

/** An unspent allowance is to be spent in this time. */
const SPEND_MS = 500;
const MAX_SHARE = 0.5;
/** Half-life of the measured rate of requests. */
const RATE_HALF_LIFE_MS = 1_000;
/** Time for which the same targets are used. */
const MIN_TURN_MS = 750;
const MAX_TURN_MS = 5_000;
const TURNS = 8;
/** The same while some target is suspected, to see others soon. */
const SUSPECT_TURN_MS = 500;
/** Fewer samples of a route than this are too few. */
const MIN_ROUTE_RESPONSES = 12;
const MAX_FOCUS_ROUTES = 3;
/**
 * With few targets the share doesn't load even one of them. Then this part of
 * the allowance is saved for pulses in which one target is loaded in full.
 */
const PULSE_PART = 0.6;
const PULSES = 2;
const MIN_PULSE_MS = 200;
const MAX_PULSE_MS = 2_000;
const MS_PER_S = 1_000;

export interface GrantState {
  lastMs: number;
  lastSeen: number;
  ratePerS: number;
  turn: number;
  turnSinceMs: number;
  isPulse: boolean;
  allowed: number;
}

export function createGrantState(nowMs: number): GrantState {
  return {
    lastMs: nowMs,
    lastSeen: 0,
    ratePerS: 0,
    turn: 0,
    turnSinceMs: nowMs,
    isPulse: false,
    allowed: 0,
  };
}

/** What the analysis says that matters for the next requests. */
export interface GrantNeeds {
  readonly sentRequests: number;
  readonly isSuspected: boolean;
  readonly suspectRoutes: readonly string[];
  readonly faultyTargets: readonly TargetId[];
  readonly responsesByTarget: ReadonlyMap<TargetId, number>;
  readonly responsesByRoute: ReadonlyMap<string, number>;
}

export function measureRate(
  state: GrantState,
  seenRequests: number,
  nowMs: number,
): void {
  const passedMs = nowMs - state.lastMs;
  if (passedMs <= 0) return;
  const perS = ((seenRequests - state.lastSeen) * MS_PER_S) / passedMs;
  const keep = state.lastSeen === 0 ? 0 : 0.5 ** (passedMs / RATE_HALF_LIFE_MS);
  state.ratePerS = state.ratePerS * keep + perS * (1 - keep);
  state.lastSeen = seenRequests;
  state.lastMs = nowMs;
}

/** Pace that spends what is unspent soon. */
function evenShare(unspent: number, ratePerS: number): number {
  const arriving = (ratePerS * SPEND_MS) / MS_PER_S;
  if (unspent <= 0) return 0;
  return Math.min(MAX_SHARE, unspent / Math.max(1, arriving));
}

/**
 * Pace that saves for pulses in which one of so few targets is loaded as it will
 * be once all traffic goes to the new version.
 */
function pulsedShare(
  state: GrantState,
  unspent: number,
  targets: number,
  share: number,
  analysisMs: number,
): number {
  const wantedMs = (analysisMs * share * PULSE_PART * targets) / PULSES;
  const pulseMs = Math.min(MAX_PULSE_MS, Math.max(MIN_PULSE_MS, wantedMs));
  const fullLoadPerS = state.ratePerS / targets;
  const pulse = (fullLoadPerS * pulseMs) / MS_PER_S;
  if (unspent >= pulse && unspent > 0) state.isPulse = true;
  if (unspent < pulse / 4) state.isPulse = false;
  return state.isPulse ? 1 / targets : share * (1 - PULSE_PART);
}

function turnMs(isSuspected: boolean, analysisMs: number): number {
  if (isSuspected) return SUSPECT_TURN_MS;
  return Math.min(MAX_TURN_MS, Math.max(MIN_TURN_MS, analysisMs / TURNS));
}

/** Moves on to the next targets when it is time. */
function takeTurns(state: GrantState, lengthMs: number, nowMs: number): void {
  if (nowMs - state.turnSinceMs < lengthMs) return;
  state.turn += 1;
  state.turnSinceMs = nowMs;
}

/** The targets that get all granted requests now. */
function chooseTargets(
  {turn}: GrantState,
  usable: readonly TargetId[],
  count: number,
  needs: GrantNeeds,
): TargetId[] {
  const {faultyTargets, isSuspected, responsesByTarget} = needs;
  const faulty = new Set(faultyTargets);
  const sound = usable.filter(target => !faulty.has(target));
  const choice = [...(sound.length > 0 ? sound : usable)].sort();
  const responses = (target: TargetId) => responsesByTarget.get(target) ?? 0;
  if (isSuspected) {
    choice.sort((a, b) => responses(a) - responses(b));
    return choice.slice(0, count);
  }
  const first = (turn * count) % choice.length;
  const around = [...choice.slice(first), ...choice.slice(0, first)];
  return around.slice(0, count);
}

/** Suspected routes, else those with the fewest samples. */
function chooseRoutes({
  suspectRoutes,
  responsesByRoute,
}: GrantNeeds): readonly string[] {
  if (suspectRoutes.length > 0) return suspectRoutes.slice(0, MAX_FOCUS_ROUTES);
  return [...responsesByRoute]
    .filter(([, responses]) => responses < MIN_ROUTE_RESPONSES)
    .sort(([, a], [, b]) => a - b)
    .slice(0, MAX_FOCUS_ROUTES)
    .map(([route]) => route);
}

/** A grant that stops entries: what was granted before isn't to be used. */
export function emptyGrant(
  state: GrantState,
  stage: 'waiting' | 'holding',
): RolloutGrant {
  const {allowed} = state;
  return {
    kind: 'continue',
    allowedRequests: allowed,
    sendShare: 0,
    targets: [],
    focusRoutes: [],
    stage,
  };
}

/** Grants requests to a version that has usable targets. */
export function grantRequests(
  state: GrantState,
  order: RolloutOrder,
  limits: RolloutLimits,
  {oldTargets, newTargets}: RolloutSituation,
  needs: GrantNeeds,
  nowMs: number,
): RolloutGrant {
  const allowed = allowedRequests(order, limits, state.lastSeen, nowMs);
  state.allowed = Math.max(state.allowed, allowed);
  const unspent = state.allowed - needs.sentRequests;
  const analysisMs = analysisEndMs(order) - order.orderedAtMs;
  const share = usedShare(limits);
  const serving = Math.min(oldTargets || newTargets.length, newTargets.length);
  const isLoading = serving * share >= PULSE_PART;
  const sendShare = isLoading
    ? evenShare(unspent, state.ratePerS)
    : pulsedShare(state, unspent, serving, share, analysisMs);
  takeTurns(state, turnMs(needs.isSuspected, analysisMs), nowMs);
  const count = Math.max(1, Math.round(sendShare * serving));
  const isFull = nowMs - order.orderedAtMs > analysisMs / 2;
  return {
    kind: 'continue',
    allowedRequests: state.allowed,
    sendShare,
    targets: chooseTargets(state, newTargets, count, needs),
    focusRoutes: chooseRoutes(needs),
    stage: isFull ? 'full' : 'growing',
  };
}

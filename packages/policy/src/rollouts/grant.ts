/**
 * How entries use the new version: at which pace, on which targets and with which
 * routes. The granted requests load few targets as heavily as old ones, since a
 * version may be bad under load only.
 */
import type {TargetId} from '@samphirefield/core';
import type {EvidenceBook} from './evidence.js';
import {allowedRequests, analysisEndMs, usedShare} from './exposure.js';
import {
  createPulseState,
  noteLoaded,
  planPulse,
  PULSE_PART,
  updatePulse,
  type PulseState,
} from './pulse.js';
import type {
  RolloutGrant,
  RolloutLimits,
  RolloutOrder,
  RolloutSituation,
} from './types.js';

/** Half-life of the measured rate of requests. */
const RATE_HALF_LIFE_MS = 1_000;
const PEAK_HALF_LIFE_MS = 20_000;
/** After a burst the peak is not what the service usually gets. */
const MAX_PEAK_FACTOR = 1.5;
/** An allowance that isn't saved for pulses is to be spent in this time. */
const SPEND_MS = 1_000;
/** Requests that are granted between pulses beyond those of `SPEND_MS`. */
const EVEN_RESERVE = 4;
/** Part of the share that is sent between pulses while something is suspected. */
const SUSPECT_PART = 0.8;
/** How much more often requests of focused routes go to the new version. */
const FOCUS_FACTOR = 4;
/** The same for a route on which the version looks worse. */
const SUSPECT_FACTOR = 20;
/** A route with fewer responses of the new version needs more samples. */
const MIN_ROUTE_RESPONSES = 12;
const MAX_FOCUS_ROUTES = 3;
const MS_PER_S = 1_000;

export interface GrantState {
  lastMs: number;
  seenRequests: number;
  ratePerS: number;
  /** Decaying peak of the rate, which falls while entries are out of contact. */
  peakPerS: number;
  targets: readonly TargetId[];
  allowed: number;
  readonly pulses: PulseState;
}

export function createGrantState(nowMs: number): GrantState {
  return {
    lastMs: nowMs,
    seenRequests: 0,
    ratePerS: 0,
    peakPerS: 0,
    targets: [],
    allowed: 0,
    pulses: createPulseState(),
  };
}

/** Responses of both versions on one route. */
export interface RouteUse {
  readonly route: string;
  readonly oldResponses: number;
  readonly newResponses: number;
}

export interface TargetUse {
  readonly responses: number;
  readonly loadedResponses: number;
}

/** The results of the analysis that the next grant depends on. */
export interface GrantNeeds {
  readonly sentRequests: number;
  /** Whether the new targets and the measured rate are ready for a pulse. */
  readonly isWarm: boolean;
  readonly isSuspected: boolean;
  readonly suspectRoutes: readonly string[];
  readonly faultyTargets: readonly TargetId[];
  /** Responses of each target, and those of requests sent under load. */
  readonly responsesByTarget: ReadonlyMap<TargetId, TargetUse>;
  readonly routes: readonly RouteUse[];
}

export function measureRate(
  state: GrantState,
  {arrived, seenRequests}: EvidenceBook,
  nowMs: number,
): void {
  const passedMs = nowMs - state.lastMs;
  if (passedMs <= 0) return;
  const perS = (arrived * MS_PER_S) / passedMs;
  const keep = state.ratePerS === 0 ? 0 : 0.5 ** (passedMs / RATE_HALF_LIFE_MS);
  state.ratePerS = state.ratePerS * keep + perS * (1 - keep);
  const peakPerS = state.peakPerS * 0.5 ** (passedMs / PEAK_HALF_LIFE_MS);
  const maxPerS = MAX_PEAK_FACTOR * state.ratePerS;
  state.peakPerS = Math.min(maxPerS, Math.max(peakPerS, state.ratePerS));
  state.seenRequests = seenRequests;
  state.lastMs = nowMs;
}

/** Share of the requests that goes to the new version between pulses. */
function evenShare(
  unspent: number,
  ratePerS: number,
  share: number,
  isSuspected: boolean,
): number {
  const arriving = (ratePerS * SPEND_MS) / MS_PER_S;
  const spending = unspent / Math.max(1, arriving);
  const part = isSuspected ? SUSPECT_PART : 1 - PULSE_PART;
  return Math.min(spending, part * share);
}

/**
 * In a pulse the targets of which least is known under load; else all, also those
 * that look faulty: if they are sound without load, the load causes the faults.
 */
function chooseTargets(
  usable: readonly TargetId[],
  {running, loaded}: PulseState,
  {faultyTargets, responsesByTarget}: GrantNeeds,
): TargetId[] {
  const all = [...usable].sort();
  if (!running) return all;
  const faulty = new Set(faultyTargets);
  const sound = all.filter(target => !faulty.has(target));
  const choice = sound.length > 0 ? sound : all;
  const lastMs = (target: TargetId) => loaded.get(target)?.untilMs ?? 0;
  const known = (target: TargetId) =>
    responsesByTarget.get(target)?.loadedResponses ?? 0;
  return choice
    .sort((a, b) => known(a) - known(b) || lastMs(a) - lastMs(b))
    .slice(0, running.pulse.targets);
}

/** Keeps the targets of a pulse until it ends or they are gone. */
function updateTargets(
  state: GrantState,
  usable: readonly TargetId[],
  hasBegun: boolean,
  needs: GrantNeeds,
): readonly TargetId[] {
  const kept = state.targets.filter(target => usable.includes(target));
  const isKept = state.pulses.running && !hasBegun && kept.length > 0;
  return isKept ? kept : chooseTargets(usable, state.pulses, needs);
}

/** Suspected routes, else those with the fewest samples. */
function chooseRoutes({suspectRoutes, routes}: GrantNeeds): readonly string[] {
  if (suspectRoutes.length > 0) return suspectRoutes.slice(0, MAX_FOCUS_ROUTES);
  return routes
    .filter(({newResponses}) => newResponses < MIN_ROUTE_RESPONSES)
    .sort((a, b) => a.newResponses - b.newResponses)
    .slice(0, MAX_FOCUS_ROUTES)
    .map(({route}) => route);
}

interface Shares {
  readonly sendShare: number;
  readonly focusShare: number;
}

/** Shares of focused and other routes, `share` on average over all requests. */
function splitShare(
  share: number,
  focusRoutes: readonly string[],
  routes: readonly RouteUse[],
  factor: number,
): Shares {
  const sum = (items: readonly RouteUse[]) =>
    items.reduce((total, {oldResponses}) => total + oldResponses, 0);
  const focused = sum(routes.filter(({route}) => focusRoutes.includes(route)));
  const part = focused / Math.max(1, sum(routes));
  const even = share / (1 - part + part * factor);
  const focusShare = Math.min(1, even * factor);
  // What the focused routes can't use is for the others.
  const rest = Math.max(0, share - part * focusShare);
  const sendShare = part < 1 ? Math.min(1, rest / (1 - part)) : 0;
  return {sendShare, focusShare};
}

/** A grant with which entries send nothing, not even what was granted before. */
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
    focusShare: 0,
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
  const allowed = allowedRequests(order, limits, state.seenRequests, nowMs);
  state.allowed = Math.max(state.allowed, allowed);
  const unspent = state.allowed - needs.sentRequests;
  const analysisMs = analysisEndMs(order) - order.orderedAtMs;
  const serving = Math.min(oldTargets || newTargets.length, newTargets.length);
  const {peakPerS, pulses, ratePerS} = state;
  const leftMs = analysisEndMs(order) - nowMs;
  const {seenRequests} = state;
  const traffic = {seenRequests, ratePerS, peakPerS, analysisMs, leftMs};
  const pulse = planPulse(traffic, serving, limits);
  const {isSuspected, isWarm} = needs;
  const circumstances = {isSuspected, leftMs};
  const hasBegun =
    isWarm && updatePulse(pulses, pulse, unspent, circumstances, nowMs);
  const even = evenShare(unspent, ratePerS, usedShare(limits), isSuspected);
  const share = unspent > 0 ? (pulses.running?.pulse.share ?? even) : 0;
  state.targets = updateTargets(state, newTargets, hasBegun, needs);
  noteLoaded(pulses, state.targets, peakPerS, nowMs);
  const focusRoutes = chooseRoutes(needs);
  const isRouteSuspected = needs.suspectRoutes.length > 0 && !pulses.running;
  const factor = isRouteSuspected ? SUSPECT_FACTOR : FOCUS_FACTOR;
  // What is saved for a pulse isn't handed out before: entries would hold it.
  const due = (ratePerS * share * SPEND_MS) / MS_PER_S + EVEN_RESERVE;
  const granted = pulses.running
    ? state.allowed
    : Math.min(state.allowed, Math.ceil(needs.sentRequests + due));
  const isFull = nowMs - order.orderedAtMs > analysisMs / 2;
  return {
    kind: 'continue',
    allowedRequests: granted,
    ...splitShare(share, focusRoutes, needs.routes, factor),
    targets: state.targets,
    focusRoutes,
    stage: isFull ? 'full' : 'growing',
  };
}

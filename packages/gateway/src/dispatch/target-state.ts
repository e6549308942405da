/**
 * What the dispatcher knows of one target: its runs, its recent failures, its
 * cold start and its prefill backlog, and what these add to the cost of placing
 * a demand there.
 */
import type {TargetStart} from '@samphirefield/policy/quarantine';
import type {TargetRecord} from '../registry/index.js';
import type {TargetSpeeds} from './speeds.js';
import type {Demand, RunOutcome} from './types.js';

/** Weight of a target's recent failures relative to its load. */
const FAILURE_PENALTY = 3;
const FAILURE_HALF_LIFE_MS = 2_500;
const AVOID_UNREACHABLE_MS = 1_000;
const AVOID_REJECTING_MS = 250;
/** Rate at which an engine prefills prompts beside its running requests. */
const PREFILL_TOKENS_PER_MS = 9;
/**
 * A prefill backlog of this length counts as much as the load of a full target.
 */
const PREFILL_FULL_LOAD_MS = 1_200;
const COLD_PENALTY = 0.3;
/**
 * A target is slow for a while after its start, even when it is warm already.
 */
const RECENT_START_MS = 4_500;
const RECENT_START_PENALTY = 0.5;
/** Time that one token takes on a busy engine of the usual speed. */
const OUTPUT_TOKEN_MS = 10;
const MS_PER_S = 1_000;
/**
 * A target on which a request takes twice as long as usual counts as fuller by
 * this share of its capacity.
 */
const SLOWNESS_PENALTY = 0.5;
/**
 * The same for long work, which has to go where KV cache is free: fast targets
 * that are filled completely preempt it.
 */
const LONG_SLOWNESS_PENALTY = 0.2;
const LONG_WORK_MS = 2_000;
/** Bound the influence of a target's own statements on its cost. */
const MAX_SLOWNESS_BONUS = 0.25;
const MAX_SLOWNESS_PENALTY = 1;
/** Weight of excess load, which is a share of slots, relative to the load. */
const EXCESS_LOAD_PENALTY = 0.25;

export interface TargetState {
  readonly start: TargetStart;
  record: TargetRecord;
  isSilent: boolean;
  runs: number;
  kvTokens: number;
  avoidUntilMs: number;
  /** Decaying counts of failed runs and of all ended runs. */
  failures: number;
  ended: number;
  decayedAtMs: number;
  coldTokens: number;
  coldTokensAtMs: number;
  /** When this incarnation of the target was first seen. */
  firstSeenAtMs: number;
  /** When the target is expected to have prefilled the prompts sent to it. */
  prefillDoneAtMs: number;
}

/** The state of a target whose incarnation is new, without runs. */
export function createTargetState(
  record: TargetRecord,
  isSilent: boolean,
  nowMs: number,
): TargetState {
  const {id, bornMs} = record.announcement;
  return {
    start: {target: id, bornMs},
    record,
    isSilent,
    runs: 0,
    kvTokens: 0,
    avoidUntilMs: 0,
    failures: 0,
    ended: 0,
    decayedAtMs: nowMs,
    coldTokens: 0,
    coldTokensAtMs: nowMs,
    firstSeenAtMs: nowMs,
    prefillDoneAtMs: nowMs,
  };
}

export function addRun(target: TargetState, kvTokens: number): void {
  target.runs += 1;
  target.kvTokens += kvTokens;
}

export function growRun(target: TargetState, kvTokens: number): void {
  target.kvTokens += kvTokens;
}

export function removeRun(target: TargetState, kvTokens: number): void {
  target.runs = Math.max(0, target.runs - 1);
  target.kvTokens = Math.max(0, target.kvTokens - kvTokens);
}

/** Counts a granted demand against the prefill backlog and the cold start. */
export function recordGrant(
  target: TargetState,
  {service, prefillTokens}: Demand,
  speeds: TargetSpeeds,
  nowMs: number,
  prefillTokensPerMs = PREFILL_TOKENS_PER_MS,
): void {
  if (isCold(target, nowMs)) target.coldTokens -= 1;
  const usualMs = prefillTokens / prefillTokensPerMs;
  const factor = speeds.isPaced(service, nowMs)
    ? speeds.durationFactor(target.start, usualMs, nowMs)
    : 1;
  target.prefillDoneAtMs =
    Math.max(nowMs, target.prefillDoneAtMs) + usualMs * factor;
}

/** How long the demand's work takes at the usual speed; 0 if unknown. */
function workMsOf({prefillTokens, kvTokens}: Demand): number {
  const outputTokens = Math.max(0, kvTokens - prefillTokens);
  return prefillTokens / PREFILL_TOKENS_PER_MS + outputTokens * OUTPUT_TOKEN_MS;
}

/**
 * By how much a target counts as fuller, or emptier, because the demand takes
 * longer there than usual, or less long.
 */
export function slownessPenaltyOf(
  target: TargetState,
  demand: Demand,
  speeds: TargetSpeeds,
  nowMs: number,
): number {
  const {start} = target;
  const workMs = workMsOf(demand);
  const factor = speeds.durationFactor(start, workMs, nowMs);
  const penalty =
    workMs > LONG_WORK_MS ? LONG_SLOWNESS_PENALTY : SLOWNESS_PENALTY;
  const slowness = (factor - 1) * penalty;
  return (
    Math.min(MAX_SLOWNESS_PENALTY, Math.max(-MAX_SLOWNESS_BONUS, slowness)) +
    speeds.excessLoad(start, nowMs) * EXCESS_LOAD_PENALTY
  );
}

export function recordOutcome(
  target: TargetState,
  outcome: RunOutcome,
  nowMs: number,
): void {
  if (outcome === 'abandoned' || outcome === 'not_sent') return;
  decay(target, nowMs);
  target.ended += 1;
  if (outcome === 'served') return;
  if (outcome !== 'rejected') target.failures += 1;
  const avoidMs =
    outcome === 'not_connected' ? AVOID_UNREACHABLE_MS : AVOID_REJECTING_MS;
  const isFailure = outcome === 'failed' || outcome === 'failure_response';
  if (!isFailure) target.avoidUntilMs = nowMs + avoidMs;
}

function decay(target: TargetState, nowMs: number): void {
  const factor = 0.5 ** ((nowMs - target.decayedAtMs) / FAILURE_HALF_LIFE_MS);
  target.failures *= factor;
  target.ended *= factor;
  target.decayedAtMs = nowMs;
}

export function isCold(target: TargetState, nowMs: number): boolean {
  return nowMs < target.record.coldUntilMs;
}

/**
 * Whether a cold target that accepts `perS` new requests a second has a token
 * left; each takes one. At most the tokens of half a second (but at least one)
 * are saved up. A target that accepts 0 is never cold.
 */
export function hasColdToken(
  target: TargetState,
  perS: number,
  nowMs: number,
): boolean {
  if (perS === 0) return true;
  const addedTokens = ((nowMs - target.coldTokensAtMs) / MS_PER_S) * perS;
  target.coldTokens = Math.min(
    Math.max(1, perS / 2),
    target.coldTokens + addedTokens,
  );
  target.coldTokensAtMs = nowMs;
  return target.coldTokens >= 1;
}

/** The penalties of the target apart from slowness, on the scale of a load. */
export function penaltyOf(target: TargetState, nowMs: number): number {
  decay(target, nowMs);
  const failureShare = target.failures / Math.max(1, target.ended);
  const isAvoided = nowMs < target.avoidUntilMs;
  const ageMs = nowMs - target.firstSeenAtMs;
  const recency = Math.max(0, 1 - ageMs / RECENT_START_MS);
  const backlogMs = Math.max(0, target.prefillDoneAtMs - nowMs);
  return (
    failureShare * FAILURE_PENALTY +
    backlogMs / PREFILL_FULL_LOAD_MS +
    (isCold(target, nowMs) ? COLD_PENALTY : 0) +
    RECENT_START_PENALTY * recency +
    (isAvoided ? FAILURE_PENALTY : 0)
  );
}

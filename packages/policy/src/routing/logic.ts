/**
 * Chooses a target: first what must not be, then room, then the prompt's
 * prefix while its target is not crowded, then the least loaded one.
 */
import {affinityOf} from './hash.js';
import type {
  Candidate,
  RejectReason,
  RouteDecision,
  RoutedRequest,
  RunnerUp,
} from './types.js';

/** A prefix is followed to a target at most this much above the mean load. */
const MAX_AFFINITY_LOAD_FACTOR = 1.25;
/** Absolute load under which affinity is always followed. */
const LIGHT_LOAD = 0.5;
const MAX_RUNNERS_UP = 4;

function rejectReason(
  candidate: Candidate,
  request: RoutedRequest,
): RejectReason | undefined {
  if (candidate.isOutOfService) return 'out_of_service';
  if (candidate.isLeaving) return 'leaving';
  if (!candidate.holdsModel) return 'lacks_model';
  if (request.excluded.has(candidate.target)) return 'tried_before';
  if (candidate.isAvoided) return 'avoided';
  if (request.isSuspect && candidate.runsSuspect) return 'runs_suspect';
  if (candidate.freeSlots < 1) return 'no_free_slot';
  if (candidate.freeKvTokens < request.kvNeedTokens) return 'no_free_memory';
  return undefined;
}

/** The fuller of slots and memory, as a share from 0 up. */
export function loadOf(candidate: Candidate): number {
  const slotShare = candidate.runningRequests / candidate.slots;
  if (candidate.kvTokens === 0) return slotShare;
  return Math.max(slotShare, candidate.kvUsedTokens / candidate.kvTokens);
}

function largestBy(
  candidates: readonly Candidate[],
  valueOf: (candidate: Candidate) => number,
): Candidate {
  return candidates.reduce((best, candidate) =>
    valueOf(candidate) > valueOf(best) ? candidate : best,
  );
}

interface Choice {
  readonly candidate: Candidate;
  readonly reason: 'prefix_cached' | 'prefix_home' | 'least_loaded';
}

function chooseByPrefix(
  usable: readonly Candidate[],
  prefix: string,
): Choice | undefined {
  const meanLoad =
    usable.reduce((sum, item) => sum + loadOf(item), 0) / usable.length;
  const bound = Math.max(LIGHT_LOAD, meanLoad * MAX_AFFINITY_LOAD_FACTOR);
  const light = usable.filter(candidate => loadOf(candidate) <= bound);
  if (light.length === 0) return undefined;
  const byHome = (candidate: Candidate) => affinityOf(prefix, candidate.target);
  const cached = light.filter(candidate => candidate.holdsPrefix);
  if (cached.length > 0) {
    return {candidate: largestBy(cached, byHome), reason: 'prefix_cached'};
  }
  return {candidate: largestBy(light, byHome), reason: 'prefix_home'};
}

function choose(usable: readonly Candidate[], request: RoutedRequest): Choice {
  if (request.prefix !== '') {
    const byPrefix = chooseByPrefix(usable, request.prefix);
    if (byPrefix) return byPrefix;
  }
  const least = largestBy(usable, candidate => -loadOf(candidate));
  return {candidate: least, reason: 'least_loaded'};
}

export function chooseTarget(
  candidates: readonly Candidate[],
  request: RoutedRequest,
): RouteDecision {
  const usable: Candidate[] = [];
  const rejected: RunnerUp[] = [];
  for (const candidate of candidates) {
    const reason = rejectReason(candidate, request);
    if (reason === undefined) usable.push(candidate);
    else if (rejected.length < MAX_RUNNERS_UP) {
      rejected.push({target: candidate.target, reason});
    }
  }
  if (usable.length === 0) return {kind: 'none', rejected};
  const {candidate, reason} = choose(usable, request);
  const others = usable
    .filter(other => other !== candidate)
    .slice(0, MAX_RUNNERS_UP)
    .map((other): RunnerUp => ({target: other.target, reason: 'more_loaded'}));
  const runnersUp = [...others, ...rejected].slice(0, MAX_RUNNERS_UP);
  return {kind: 'chosen', target: candidate.target, reason, runnersUp};
}

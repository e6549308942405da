/**
 * Chooses a target: first what must not be, then room, then the prompt's
 * prefix while its target is not crowded, then the least loaded one.
 */
import {findOnRing} from './ring.js';
import type {
  Candidate,
  CandidateList,
  RejectReason,
  RouteDecision,
  RoutedRequest,
  RouteReason,
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
  nowMs: number,
): RejectReason | undefined {
  if (candidate.isOutOfService) return 'out_of_service';
  if (candidate.isDraining) return 'leaving';
  if (candidate.freeSlots < 1) return 'no_free_slot';
  if (candidate.freeKvTokens < request.kvNeedTokens) return 'no_free_memory';
  if (nowMs < candidate.avoidUntilMs) return 'avoided';
  if (request.isSuspect && candidate.runsSuspect) return 'runs_suspect';
  if (request.excluded.has(candidate.target)) return 'tried_before';
  return undefined;
}

/** What one pass over all candidates finds. */
interface Survey {
  usable: number;
  loadSum: number;
  least: Candidate | undefined;
  readonly others: RunnerUp[];
}

function survey(
  list: CandidateList,
  request: RoutedRequest,
  nowMs: number,
): Survey {
  const found: Survey = {
    usable: 0,
    loadSum: 0,
    least: undefined,
    others: [],
  };
  for (const candidate of list.candidates) {
    const reason = rejectReason(candidate, request, nowMs);
    if (found.others.length <= MAX_RUNNERS_UP) {
      const {target} = candidate;
      found.others.push({target, reason: reason ?? 'more_loaded'});
    }
    if (reason !== undefined) continue;
    found.usable += 1;
    found.loadSum += candidate.load;
    if (!found.least || candidate.load < found.least.load) {
      found.least = candidate;
    }
  }
  return found;
}

interface Choice {
  readonly candidate: Candidate;
  readonly reason: RouteReason;
}

/** Follows the prefix with bounded load: to a cache, else to its home. */
function chooseByPrefix(
  list: CandidateList,
  request: RoutedRequest,
  found: Survey,
  nowMs: number,
): Choice | undefined {
  const meanLoad = found.loadSum / found.usable;
  const bound = Math.max(LIGHT_LOAD, meanLoad * MAX_AFFINITY_LOAD_FACTOR);
  const isLight = (candidate: Candidate) =>
    candidate.load <= bound &&
    rejectReason(candidate, request, nowMs) === undefined;
  const {cachedOn, prefix} = request;
  if (cachedOn && cachedOn.size > 0) {
    const cached = findOnRing(
      list.ring,
      prefix,
      candidate => cachedOn.has(candidate.target) && isLight(candidate),
    );
    if (cached) return {candidate: cached, reason: 'prefix_cached'};
  }
  const home = findOnRing(list.ring, prefix, isLight);
  return home && {candidate: home, reason: 'prefix_home'};
}

export function chooseTarget(
  list: CandidateList,
  request: RoutedRequest,
  nowMs: number,
): RouteDecision {
  const found = survey(list, request, nowMs);
  if (found.least === undefined) {
    return {kind: 'none', rejected: found.others.slice(0, MAX_RUNNERS_UP)};
  }
  const byPrefix =
    request.prefix === ''
      ? undefined
      : chooseByPrefix(list, request, found, nowMs);
  const choice: Choice = byPrefix ?? {
    candidate: found.least,
    reason: 'least_loaded',
  };
  const {target} = choice.candidate;
  const runnersUp = found.others
    .filter(other => other.target !== target)
    .slice(0, MAX_RUNNERS_UP);
  return {kind: 'chosen', target, reason: choice.reason, runnersUp};
}

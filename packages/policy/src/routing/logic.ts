/**
 * Chooses the target of a request. Targets that may not be used or lack free
 * capacity are ruled out first. Of the others, the target of the prompt's prefix
 * is chosen unless its load is far above the mean, else the least loaded one.
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

/** Prefix affinity applies up to this multiple of the mean load. */
const MAX_AFFINITY_LOAD_FACTOR = 1.25;
/** Prefix affinity always applies up to this absolute load. */
const LIGHT_LOAD = 0.5;
const MAX_RUNNERS_UP = 4;

/** Returns why a candidate can't run the request, or undefined if it can. */
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

/** The result of one pass over all candidates. */
interface Survey {
  usableCount: number;
  loadSum: number;
  leastLoaded: Candidate | undefined;
  readonly others: RunnerUp[];
}

function survey(
  list: CandidateList,
  request: RoutedRequest,
  nowMs: number,
): Survey {
  const found: Survey = {
    usableCount: 0,
    loadSum: 0,
    leastLoaded: undefined,
    others: [],
  };
  for (const candidate of list.candidates) {
    const reason = rejectReason(candidate, request, nowMs);
    if (found.others.length <= MAX_RUNNERS_UP) {
      const {target} = candidate;
      found.others.push({target, reason: reason ?? 'more_loaded'});
    }
    if (reason !== undefined) continue;
    found.usableCount += 1;
    found.loadSum += candidate.load;
    if (!found.leastLoaded || candidate.load < found.leastLoaded.load) {
      found.leastLoaded = candidate;
    }
  }
  return found;
}

interface Choice {
  readonly candidate: Candidate;
  readonly reason: RouteReason;
}

/**
 * Applies prefix affinity with bounded loads: returns a target with the prefix in
 * its cache, else the first acceptable one on the ring.
 */
function chooseByPrefix(
  list: CandidateList,
  request: RoutedRequest,
  found: Survey,
  nowMs: number,
): Choice | undefined {
  const meanLoad = found.loadSum / found.usableCount;
  const maxLoad = Math.max(LIGHT_LOAD, meanLoad * MAX_AFFINITY_LOAD_FACTOR);
  const isAcceptable = (candidate: Candidate) =>
    candidate.load <= maxLoad &&
    rejectReason(candidate, request, nowMs) === undefined;
  const {cachedOn, prefix} = request;
  if (cachedOn && cachedOn.size > 0) {
    const cached = findOnRing(
      list.ring,
      prefix,
      candidate => cachedOn.has(candidate.target) && isAcceptable(candidate),
    );
    if (cached) return {candidate: cached, reason: 'prefix_cached'};
  }
  const home = findOnRing(list.ring, prefix, isAcceptable);
  return home && {candidate: home, reason: 'prefix_home'};
}

/**
 * Chooses a target for a request, or returns the reasons against the first few
 * candidates when none is usable.
 */
export function chooseTarget(
  list: CandidateList,
  request: RoutedRequest,
  nowMs: number,
): RouteDecision {
  const found = survey(list, request, nowMs);
  if (found.leastLoaded === undefined) {
    return {kind: 'none', rejected: found.others.slice(0, MAX_RUNNERS_UP)};
  }
  const byPrefix =
    request.prefix === ''
      ? undefined
      : chooseByPrefix(list, request, found, nowMs);
  const choice: Choice = byPrefix ?? {
    candidate: found.leastLoaded,
    reason: 'least_loaded',
  };
  const {target} = choice.candidate;
  const runnersUp = found.others
    .filter(other => other.target !== target)
    .slice(0, MAX_RUNNERS_UP);
  return {kind: 'chosen', target, reason: choice.reason, runnersUp};
}

/** How many requests the new version may get, and which entry sends them. */
import type {InstanceId} from '@samphirefield/core';
import type {
  EntryAllowance,
  EntryUse,
  RolloutLimits,
  RolloutOrder,
} from './types.js';

/**
 * Part of the time to the last request that a lease may take: the rest is for
 * reports, the decision and its commit.
 */
const LEASE_PART = 0.3;
/** The rest of the share is left for requests that callers count otherwise. */
const USED_SHARE = 0.95;
/** The rest of the slack is left for what a change of leader loses. */
const USED_SLACK = 0.8;
/** The slack is granted evenly over the first half of the analysis. */
const SLACK_PART = 0.5;
/** The share grows over this part of the analysis, from `FIRST_SHARE` of it. */
const GROWTH_PART = 0.15;
const FIRST_SHARE = 0.3;
/** Part of the duration, and time, that is kept for the end and its commit. */
const RESERVED_PART = 0.3;
/** Two changes of leader, and the reports to the second one. */
const MAX_RESERVED_MS = 5_000;
/** Time in which a decision that was put off can still be committed. */
const LAST_PART = 0.1;
const MAX_LAST_MS = 1_000;

/** How long an entry may use an allowance after it asked for it. */
export function rolloutLeaseMs({rollbackMs}: RolloutLimits): number {
  return LEASE_PART * rollbackMs;
}

/** When the analysis ends; what is left of the duration is for the commit. */
export function analysisEndMs({orderedAtMs, deadlineMs}: RolloutOrder): number {
  const durationMs = deadlineMs - orderedAtMs;
  return deadlineMs - Math.min(MAX_RESERVED_MS, RESERVED_PART * durationMs);
}

/** The last time at which the end can be committed before the deadline. */
export function lastDecisionMs({
  orderedAtMs,
  deadlineMs,
}: RolloutOrder): number {
  const durationMs = deadlineMs - orderedAtMs;
  return deadlineMs - Math.min(MAX_LAST_MS, LAST_PART * durationMs);
}

/** The share of requests that is granted in the long run. */
export function usedShare({exposeShare}: RolloutLimits): number {
  return USED_SHARE * exposeShare;
}

/**
 * Requests that may have been sent by now. The number until the deadline isn't
 * known ahead, so the share counts from the requests seen so far; it is below
 * the limit at any time, whatever follows.
 */
export function allowedRequests(
  order: RolloutOrder,
  limits: RolloutLimits,
  seenRequests: number,
  nowMs: number,
): number {
  const analysisMs = analysisEndMs(order) - order.orderedAtMs;
  const part = Math.max(0, nowMs - order.orderedAtMs) / analysisMs;
  const grown = FIRST_SHARE + ((1 - FIRST_SHARE) * part) / GROWTH_PART;
  const share = usedShare(limits) * Math.min(1, grown);
  const slackPart = Math.min(1, part / SLACK_PART);
  const slack = USED_SLACK * limits.exposeSlack * slackPart;
  return Math.floor(share * seenRequests + slack);
}

interface Claimant {
  readonly entry: InstanceId;
  readonly weight: number;
  readonly unspent: number;
}

/** Parts of `free` by weight, as numbers that may have fractions. */
function targetUnspent(
  claimants: readonly Claimant[],
  free: number,
): Map<InstanceId, number> {
  const weights = claimants.reduce((sum, {weight}) => sum + weight, 0);
  const total = claimants.reduce((sum, {unspent}) => sum + unspent, free);
  return new Map(
    claimants.map(({entry, weight}) => [entry, (total * weight) / weights]),
  );
}

/**
 * Divides the allowance: what is unspent is to be in proportion to the requests
 * that arrive at each entry. No entry gets less than it was granted before, as it
 * may have spent it; whole requests go to those that are furthest below their
 * part. The load it is designed for: 550 entries, every 250 ms.
 */
export function divideAllowance(
  allowed: number,
  entries: readonly EntryUse[],
): EntryAllowance[] {
  const granted = entries.reduce((sum, item) => sum + item.grantedRequests, 0);
  let free = Math.max(0, Math.floor(allowed) - granted);
  const claimants = entries
    .filter(({isInContact}) => isInContact)
    .map(({entry, grantedRequests, sentRequests, recentRequests}) => ({
      entry,
      weight: Math.max(0, recentRequests) + 1e-6,
      unspent: Math.max(0, grantedRequests - sentRequests),
    }));
  const parts = targetUnspent(claimants, free);
  const missing = claimants
    .map(({entry, unspent}) => ({entry, part: parts.get(entry)! - unspent}))
    .filter(({part}) => part > 0)
    .sort((a, b) => b.part - a.part);
  const extra = new Map<InstanceId, number>();
  for (const {entry, part} of missing) {
    const count = Math.min(free, Math.ceil(part));
    free -= count;
    extra.set(entry, count);
  }
  return entries.map(({entry, grantedRequests}) => ({
    entry,
    allowedRequests: grantedRequests + (extra.get(entry) ?? 0),
  }));
}

/** How many requests the new version may get, and which entry sends them. */
import type {InstanceId} from '@samphirefield/core';
import type {
  EntryAllowance,
  EntryUse,
  RolloutLimits,
  RolloutOrder,
} from './types.js';

/**
 * Part of `rollbackMs` that a lease may last: the rest is for reports, the
 * decision and its commit.
 */
const LEASE_PART = 0.3;
/** Granted part of `exposeShare`; callers may count some requests differently. */
const USED_SHARE = 0.95;
/** Granted part of `exposeSlack`; the rest is for losses in a change of leader. */
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

/** Unspent requests of an entry that last until the next lease reaches it. */
const MIN_UNSPENT = 2;
/**
 * Added to each weight, in parts of the mean weight, since a small number of
 * recent requests is mostly chance.
 */
const BASE_WEIGHT = 0.5;
/** Keeps weights above 0 while no requests arrive. */
const MIN_WEIGHT = 1e-3;

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
  readonly sent: number;
  readonly unspent: number;
}

const sumOf = <Item>(items: readonly Item[], value: (item: Item) => number) =>
  items.reduce((sum, item) => sum + value(item), 0);

function toClaimants(uses: readonly EntryUse[]): Claimant[] {
  const recent = sumOf(uses, ({recentRequests}) => recentRequests);
  const base = (BASE_WEIGHT * recent) / uses.length + MIN_WEIGHT;
  return uses.map(({entry, grantedRequests, recentRequests, sentRequests}) => ({
    entry,
    weight: recentRequests + base,
    sent: sentRequests,
    unspent: Math.max(0, grantedRequests - sentRequests),
  }));
}

/**
 * Chooses the entries that are to have an allowance: all if there is enough for
 * each, else those that hold one already and those that sent the least.
 */
function chooseClaimants(
  claimants: readonly Claimant[],
  unspent: number,
): Claimant[] {
  const count = Math.max(1, Math.floor(unspent / MIN_UNSPENT));
  if (count >= claimants.length) return [...claimants];
  const order = (a: Claimant, b: Claimant) =>
    b.unspent - a.unspent || a.sent / a.weight - b.sent / b.weight;
  return [...claimants].sort(order).slice(0, count);
}

/** Whole requests out of `free` for each of them, by weight. */
function shareOut(
  chosen: readonly Claimant[],
  free: number,
): Map<InstanceId, number> {
  const weights = sumOf(chosen, ({weight}) => weight);
  const total = free + sumOf(chosen, ({unspent}) => unspent);
  const missing = chosen
    .map(({entry, unspent, weight}) => ({
      entry,
      part: (total * weight) / weights - unspent,
    }))
    .filter(({part}) => part > 0)
    .sort((a, b) => b.part - a.part);
  const extra = new Map<InstanceId, number>();
  let left = free;
  for (const {entry, part} of missing) {
    const count = Math.min(left, Math.ceil(part));
    left -= count;
    extra.set(entry, count);
  }
  return extra;
}

/**
 * Divides the allowance: what is unspent is to be in proportion to the requests
 * that arrive at each entry. No entry gets less than it was granted before, as it
 * may have spent it. Where there is less than `MIN_UNSPENT` for each entry, fewer
 * entries get it and send a larger part of their requests: else the many entries
 * of a slow service would hold single requests for seconds. The load it is
 * designed for: 550 entries, every 250 ms.
 */
export function divideAllowance(
  allowed: number,
  entries: readonly EntryUse[],
): EntryAllowance[] {
  const granted = sumOf(entries, ({grantedRequests}) => grantedRequests);
  const free = Math.max(0, Math.floor(allowed) - granted);
  const claimants = toClaimants(entries.filter(item => item.isInContact));
  const unspent = free + sumOf(claimants, item => item.unspent);
  const chosen = chooseClaimants(claimants, unspent);
  const extra = shareOut(chosen, free);
  const weightOf = (items: readonly Claimant[]) =>
    sumOf(items, ({weight}) => weight);
  const holders = claimants.filter(
    ({entry, unspent: held}) => held > 0 || extra.get(entry),
  );
  const shareFactor =
    holders.length > 0 ? weightOf(claimants) / weightOf(holders) : 1;
  return entries.map(({entry, grantedRequests}) => ({
    entry,
    allowedRequests: grantedRequests + (extra.get(entry) ?? 0),
    shareFactor,
  }));
}

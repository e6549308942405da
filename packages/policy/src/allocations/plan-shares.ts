/**
 * Divides a target's capacity among its claimants.
 *
 * Each claimant keeps the capacity that it uses. Free capacity goes first to
 * claimants with waiting requests, in units of a whole request: a share too
 * small for a request would stay idle. The remainder is spread evenly, so that
 * any claimant can start a request without asking the leader first.
 */
import type {Capacity} from './capacity.js';
import {divideUnits} from './divide.js';
import type {HolderId} from './types.js';

/** One live holder of a target, with its usage and its waiting requests. */
export interface Claimant {
  readonly holder: HolderId;
  readonly inUse: number;
  readonly kvInUse: number;
  readonly waiting: number;
  readonly kvNeedTokens: number;
  /** Orders the claimants of this target; a larger rank is served first. */
  readonly rank: number;
}

/** Free KV cache is spread in whole chunks, this many to a target. */
const KV_CHUNKS_PER_TARGET = 64;

interface Share {
  slots: number;
  kvTokens: number;
}

/** Returns the share of each claimant, in the order of `claimants`. */
export function planShares(
  claimants: readonly Claimant[],
  capacity: Capacity,
): readonly Capacity[] {
  const used: Share = {
    slots: claimants.reduce((sum, item) => sum + item.inUse, 0),
    kvTokens: claimants.reduce((sum, item) => sum + item.kvInUse, 0),
  };
  const free: Share = {
    slots: Math.max(0, capacity.slots - used.slots),
    kvTokens: Math.max(0, capacity.kvTokens - used.kvTokens),
  };
  const shares = claimants.map(item => ({
    slots: item.inUse,
    kvTokens: item.kvInUse,
  }));
  allocateToWaiting(claimants, shares, free);
  spreadRemaining(claimants, shares, free, capacity);
  capOvercommitted(claimants, shares, used, capacity);
  return shares;
}

/**
 * Gives each waiting claimant capacity for one request per round, until no
 * further request fits or all are served.
 */
function allocateToWaiting(
  claimants: readonly Claimant[],
  shares: readonly Share[],
  free: Share,
): void {
  let isServing = true;
  for (let round = 1; isServing && free.slots > 0; round += 1) {
    isServing = false;
    for (const [position, claimant] of claimants.entries()) {
      const isSatisfied = round > claimant.waiting;
      const fits = claimant.kvNeedTokens <= free.kvTokens && free.slots > 0;
      if (isSatisfied || !fits) continue;
      shares[position]!.slots += 1;
      shares[position]!.kvTokens += claimant.kvNeedTokens;
      free.slots -= 1;
      free.kvTokens -= claimant.kvNeedTokens;
      isServing = true;
    }
  }
}

/**
 * Spreads the free slots, and the free KV cache in whole chunks, evenly over all
 * claimants.
 */
function spreadRemaining(
  claimants: readonly Claimant[],
  shares: readonly Share[],
  free: Share,
  capacity: Capacity,
): void {
  const equal = claimants.map(({holder, rank}) => ({
    key: holder,
    weight: 1,
    tieBreak: rank,
  }));
  const chunk = Math.max(
    1,
    Math.floor(capacity.kvTokens / KV_CHUNKS_PER_TARGET),
  );
  const slots = divideUnits(free.slots, equal);
  const chunks = divideUnits(Math.floor(free.kvTokens / chunk), equal);
  for (const [position, share] of shares.entries()) {
    share.slots += slots[position]!;
    share.kvTokens += chunks[position]! * chunk;
  }
}

/**
 * When more is in use than the target's capacity, divides the capacity in
 * proportion to the usage instead, so that a freed slot isn't filled again.
 */
function capOvercommitted(
  claimants: readonly Claimant[],
  shares: readonly Share[],
  used: Share,
  capacity: Capacity,
): void {
  const capResource = (
    key: keyof Share,
    usageOf: (item: Claimant) => number,
  ) => {
    if (used[key] <= capacity[key]) return;
    const byUsage = claimants.map(item => ({
      key: item.holder,
      weight: usageOf(item),
      tieBreak: item.rank,
    }));
    const assigned = divideUnits(Math.max(0, capacity[key]), byUsage);
    for (const [position, share] of shares.entries()) {
      share[key] = assigned[position]!;
    }
  };
  capResource('slots', item => item.inUse);
  capResource('kvTokens', item => item.kvInUse);
}

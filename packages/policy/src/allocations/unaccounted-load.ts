/**
 * Work that no live holder accounts for: what entries that are gone may still
 * have running, until the targets' own reports leave no room for it.
 */
import {
  holderId,
  type EntryRow,
  type Grant,
  type GrantsOfTarget,
  type LeaderTables,
  type TargetRow,
} from './types.js';

export function isLive(row: EntryRow | undefined, nowMs: number): boolean {
  return row !== undefined && nowMs < row.leaseEndMs;
}

/** Time over which the least use is kept: longer than reports are late. */
const LOW_WINDOW_MS = 3_000;

export function trackMinUse(
  known: Grant | undefined,
  inUse: number,
  nowMs: number,
): Pick<Grant, 'minInUse' | 'previousMinInUse' | 'minWindowStartMs'> {
  // Of a holder heard for the first time, nothing is known of the past.
  if (!known)
    return {minInUse: inUse, previousMinInUse: 0, minWindowStartMs: nowMs};
  const {minInUse, previousMinInUse, minWindowStartMs} = known;
  if (nowMs - minWindowStartMs > LOW_WINDOW_MS) {
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

/** Whether any holder is gone, so that ghosts have to be looked for at all. */
export function hasExpiredHolders(
  tables: LeaderTables,
  nowMs: number,
): boolean {
  if (tables.hasUnaccountedLoad) return true;
  for (const row of tables.entries.values()) {
    if (!isLive(row, nowMs)) return true;
  }
  return false;
}

/** The least that live entries can have had running around the last report. */
function leastLiveUse(
  tables: LeaderTables,
  grants: GrantsOfTarget,
  nowMs: number,
): number {
  let least = 0;
  for (const [holder, grant] of grants) {
    if (!isLive(tables.entries.get(holder), nowMs)) continue;
    least += Math.min(grant.minInUse, grant.previousMinInUse);
  }
  return least;
}

/**
 * What entries that are gone may still have running on the target: all that
 * they might have started until their lease ended, until the target's own
 * reports from after that leave no room for it.
 */
export function settleExpiredHolders(
  tables: LeaderTables,
  target: TargetRow,
  grants: GrantsOfTarget,
  nowMs: number,
): void {
  const {running} = target.announcement.load;
  const unexplained = running - leastLiveUse(tables, grants, nowMs);
  for (const [holder, grant] of grants) {
    const row = tables.entries.get(holder);
    if (isLive(row, nowMs)) continue;
    grant.inUse = Math.max(grant.inUse, grant.slots);
    grant.kvInUse = Math.max(grant.kvInUse, grant.kvTokens);
    if (target.reportedAtMs > (row?.leaseEndMs ?? 0)) {
      grant.inUse = Math.min(grant.inUse, Math.max(0, unexplained));
    }
    grant.slots = grant.inUse;
    if (grant.inUse === 0) grants.delete(holder);
  }
}

const UNKNOWN_HOLDER = holderId('unknown');

/**
 * Charges, once after the grace, what the target reports beyond all live
 * holders: a holder may have died before this leader heard of it.
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
  const inUse = load.running - leastLiveUse(tables, grants, nowMs);
  if (inUse <= 0) return;
  tables.hasUnaccountedLoad = true;
  grants.set(UNKNOWN_HOLDER, {
    slots: inUse,
    kvTokens: 0,
    inUse,
    kvInUse: 0,
    finished: 0,
    ...trackMinUse(undefined, inUse, nowMs),
  });
}

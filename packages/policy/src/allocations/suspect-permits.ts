/**
 * Limits suspects to one running at a time over all entries. The leader gives
 * one holder a permit to run one suspect. The permit ends once the suspect no
 * longer waits or runs there, or the holder's lease expires.
 */
import type {Fingerprint} from '@samphirefield/core';
import type {HolderId, LeaderTables} from './types.js';

function isPermitAvailable(tables: LeaderTables, nowMs: number): boolean {
  const permit = tables.suspectPermit;
  if (permit === undefined) return true;
  const row = tables.entries.get(permit.holder);
  if (row === undefined || nowMs >= row.leaseEndMs) return true;
  const isPending =
    row.waitingSuspects.includes(permit.fingerprint) ||
    row.runningSuspects.includes(permit.fingerprint);
  return !isPending;
}

/**
 * Returns the suspects that this holder has a permit to run now: at most one
 * over all holders. When no permit is outstanding, the holder's first waiting
 * suspect gets one.
 */
export function nextSuspectPermits(
  tables: LeaderTables,
  holder: HolderId,
  nowMs: number,
): readonly Fingerprint[] {
  if (isPermitAvailable(tables, nowMs)) {
    tables.suspectPermit = undefined;
    const next = tables.entries.get(holder)?.waitingSuspects[0];
    if (next !== undefined) tables.suspectPermit = {holder, fingerprint: next};
  }
  const permit = tables.suspectPermit;
  return permit?.holder === holder ? [permit.fingerprint] : [];
}

/**
 * Limits suspects to one running at a time over all entries. The leader permits
 * one holder to run one suspect, until the suspect no longer waits or runs there
 * or the holder's lease expires.
 */
import type {Fingerprint} from '@samphirefield/core';
import type {HolderId, LeaderTables} from './types.js';

function isPermitAvailable(tables: LeaderTables, nowMs: number): boolean {
  const turn = tables.suspectTurn;
  if (turn === undefined) return true;
  const row = tables.entries.get(turn.holder);
  if (row === undefined || nowMs >= row.leaseEndMs) return true;
  const isPending =
    row.waitingSuspects.includes(turn.fingerprint) ||
    row.runningSuspects.includes(turn.fingerprint);
  return !isPending;
}

/**
 * Returns the suspects that this holder may run now: at most one over all
 * holders. When no permission is outstanding, the holder's first waiting suspect
 * gets one.
 */
export function nextSuspectTurn(
  tables: LeaderTables,
  holder: HolderId,
  nowMs: number,
): readonly Fingerprint[] {
  if (isPermitAvailable(tables, nowMs)) {
    tables.suspectTurn = undefined;
    const next = tables.entries.get(holder)?.waitingSuspects[0];
    if (next !== undefined) tables.suspectTurn = {holder, fingerprint: next};
  }
  const turn = tables.suspectTurn;
  return turn?.holder === holder ? [turn.fingerprint] : [];
}

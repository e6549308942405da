/** Lets suspects run one at a time over all entries. */
import type {Fingerprint} from '@samphirefield/core';
import type {HolderId, LeaderTables} from './types.js';

function isTurnOver(tables: LeaderTables, nowMs: number): boolean {
  const turn = tables.suspectTurn;
  if (turn === undefined) return true;
  const row = tables.entries.get(turn.holder);
  if (row === undefined || nowMs >= row.leaseEndMs) return true;
  const isPending =
    row.waitingSuspects.includes(turn.fingerprint) ||
    row.runningSuspects.includes(turn.fingerprint);
  return !isPending;
}

/** The suspects that this holder may run now: at most one over all holders. */
export function nextSuspectTurn(
  tables: LeaderTables,
  holder: HolderId,
  nowMs: number,
): readonly Fingerprint[] {
  if (isTurnOver(tables, nowMs)) {
    tables.suspectTurn = undefined;
    const next = tables.entries.get(holder)?.waitingSuspects[0];
    if (next !== undefined) tables.suspectTurn = {holder, fingerprint: next};
  }
  const turn = tables.suspectTurn;
  return turn?.holder === holder ? [turn.fingerprint] : [];
}

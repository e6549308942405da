/**
 * Targets that want nothing from this entry for a while. A pause belongs to one
 * start of a target and ends at its time.
 */
import type {TargetId} from '@samphirefield/core';
import type {TargetStart} from '../quarantine/index.js';

const MAX_PAUSES = 4_096;

interface Pause {
  readonly bornMs: number;
  readonly untilMs: number;
}

export type PauseTable = Map<TargetId, Pause>;

export function createPauses(): PauseTable {
  return new Map();
}

export function beginPause(
  table: PauseTable,
  {target, bornMs}: TargetStart,
  untilMs: number,
): void {
  const known = table.get(target);
  if (known && known.bornMs > bornMs) return;
  const isLonger = known?.bornMs === bornMs && known.untilMs >= untilMs;
  if (isLonger) return;
  table.delete(target);
  table.set(target, {bornMs, untilMs});
  const [oldest] = table.keys();
  if (table.size > MAX_PAUSES) table.delete(oldest!);
}

/** Time until the pause of this start ends; 0 if there is none. */
export function pauseLeftMs(
  table: PauseTable,
  {target, bornMs}: TargetStart,
  nowMs: number,
): number {
  const pause = table.get(target);
  return pause?.bornMs === bornMs ? Math.max(0, pause.untilMs - nowMs) : 0;
}

/** Drops the pauses that are over. */
export function endPauses(table: PauseTable, nowMs: number): void {
  for (const [target, {untilMs}] of table) {
    if (untilMs <= nowMs) table.delete(target);
  }
}

/** Sums up the table for operators. */
import type {TargetId} from '@samphirefield/core';
import {durationFactor} from './logic.js';
import type {TargetLoadTable} from './types.js';

/** A target that takes this many times as long as usual is slow. */
const SLOW_FACTOR = 1.5;

export interface LoadSummary {
  readonly targets: number;
  readonly slow: number;
  readonly slowest: TargetId | undefined;
  /** How many times as long as usual short work takes on the slowest target. */
  readonly factor: number;
}

export function summarizeLoads(
  table: TargetLoadTable,
  nowMs: number,
): LoadSummary {
  let slow = 0;
  let slowest: TargetId | undefined;
  let factor = 0;
  for (const [target, {bornMs}] of table.rows) {
    const own = durationFactor(table, {target, bornMs}, 0, nowMs);
    if (own >= SLOW_FACTOR) slow += 1;
    if (own <= factor) continue;
    factor = own;
    slowest = target;
  }
  return {targets: table.rows.size, slow, slowest, factor};
}

/** Logs periodically how many targets are slow, and which is the slowest. */
import type {Logger} from '@samphirefield/core';
import {
  summarizeLoads,
  type TargetLoadTable,
} from '@samphirefield/policy/target-load';

const LOG_EVERY_MS = 5_000;
const PCT = 100;

export interface TargetLoadLogOptions {
  readonly logger: Logger;
  readonly nowMs: () => number;
}

export class TargetLoadLog {
  private loggedAtMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: TargetLoadLogOptions) {}

  /** Logs a line, unless no target has a load or one was logged recently. */
  write(table: TargetLoadTable, reports: number): void {
    const nowMs = this.options.nowMs();
    const isDue = nowMs - this.loggedAtMs >= LOG_EVERY_MS;
    if (!isDue || table.rows.size === 0) return;
    this.loggedAtMs = nowMs;
    const {targets, slow, slowest, factor} = summarizeLoads(table, nowMs);
    this.options.logger.info('target_loads', {
      targets,
      slow,
      slowest,
      slowest_pct: Math.round(factor * PCT),
      reports,
    });
  }
}

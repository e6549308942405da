/**
 * The load and speed of targets at the leader: keeps what entries report, from
 * which its dispatcher learns how long requests will take.
 */
import type {Logger, ServiceId, TargetId} from '@samphirefield/core';
import type {TargetSpeeds} from '@samphirefield/gateway';
import type {TargetStart} from '@samphirefield/policy/quarantine';
import {
  createTargetLoads,
  durationFactor,
  forgetTargetLoad,
  isPaced,
  learnReport,
  excessLoadOf,
  summarizeLoads,
} from '@samphirefield/policy/target-load';
import {TargetLoadLog} from './target-load-log.js';

export interface TargetLoadKeeperOptions {
  readonly logger: Logger;
  readonly nowMs: () => number;
  /** Undefined if the target is not known. */
  readonly serviceOf: (target: TargetId) => ServiceId | undefined;
}

export class TargetLoadKeeper implements TargetSpeeds {
  private readonly table = createTargetLoads();
  private rowsLearned = 0;
  private readonly log;

  constructor(private readonly options: TargetLoadKeeperOptions) {
    this.log = new TargetLoadLog(options);
  }

  learn(rows: readonly unknown[]): void {
    const {serviceOf, nowMs} = this.options;
    for (const row of rows) {
      if (learnReport(this.table, row, serviceOf, nowMs()))
        this.rowsLearned += 1;
    }
    this.log.write(this.table, this.rowsLearned);
  }

  isPaced(service: ServiceId, nowMs: number): boolean {
    return isPaced(this.table, service, nowMs);
  }

  durationFactor(start: TargetStart, workMs: number, nowMs: number): number {
    return durationFactor(this.table, start, workMs, nowMs);
  }

  excessLoad(start: TargetStart, nowMs: number): number {
    return excessLoadOf(this.table, start, nowMs);
  }

  forget(target: TargetId): void {
    forgetTargetLoad(this.table, target);
  }

  metrics(): Record<string, number> {
    const {targets, slow} = summarizeLoads(this.table, this.options.nowMs());
    return {
      target_load_rows: targets,
      targets_slow: slow,
      target_load_reports: this.rowsLearned,
    };
  }
}

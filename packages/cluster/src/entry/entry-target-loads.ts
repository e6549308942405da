/**
 * The load and speed of targets at an entry: reads what they state in their
 * responses, measures how long they take, and reports both to the leader, which
 * places runs on engines. The entry itself chooses targets of plain services.
 */
import type {Logger, ServiceId, TargetId} from '@samphirefield/core';
import type {TargetLoadListener, TargetSpeeds} from '@samphirefield/gateway';
import type {TargetStart} from '@samphirefield/policy/quarantine';
import {
  addPending,
  compareSample,
  createReports,
  createSamples,
  createTargetLoads,
  durationFactor,
  forgetReported,
  forgetTargetLoad,
  isPaced,
  excessLoadOf,
  readLoad,
  recordMeasured,
  recordStatedLoad,
  statedLoadOf,
  summarizeLoads,
  takeReports,
  type DurationSample,
  type LoadFields,
} from '@samphirefield/policy/target-load';
import type {TargetLoadsMessage} from '../control/index.js';
import {TargetLoadLog} from '../control/target-load-log.js';
import type {Peer} from '../link/index.js';

/** Bound of the reports on an entry's link to the leader. */
const REPORT_BYTES_PER_S = 400;
/** Bounds the record of targets whose invalid statements were logged. */
const MAX_LOGGED_STARTS = 256;

export interface EntryTargetLoadsOptions {
  readonly logger: Logger;
  readonly nowMs: () => number;
  readonly leader: () => Peer | undefined;
  readonly hasEngine: (service: ServiceId) => boolean;
  /** Undefined if the target is not known. */
  readonly serviceOf: (target: TargetId) => ServiceId | undefined;
  /** Runs of this entry on a target that it chose itself. */
  readonly runsOn: (target: TargetId) => number;
}

const REPORT_EVERY_MS = 100;

export class EntryTargetLoads implements TargetLoadListener, TargetSpeeds {
  private readonly table = createTargetLoads();
  private readonly samples = createSamples();
  private readonly reports;
  private readonly log;
  private readonly loggedInvalid = new Set<string>();
  private invalidCount = 0;
  private rowsSent = 0;
  /** Runs from the first stated pace on. */
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: EntryTargetLoadsOptions) {
    this.reports = createReports(REPORT_BYTES_PER_S, options.nowMs());
    this.log = new TargetLoadLog(options);
  }

  hearLoad(
    start: TargetStart,
    service: ServiceId,
    loads: readonly LoadFields[],
  ): void {
    const load = readLoad(loads);
    if (load === 'none') return;
    if (load === 'invalid') {
      this.logInvalid(start, loads);
      return;
    }
    if (load.pacePct === undefined) return;
    // The leader knows the runs on engines, so only the waiting ones count.
    const ownRuns = this.options.hasEngine(service)
      ? load.running
      : this.options.runsOn(start.target);
    const stated = statedLoadOf(load, ownRuns);
    const nowMs = this.options.nowMs();
    recordStatedLoad(this.table, start, service, stated, nowMs);
    this.timer ??= setInterval(() => this.report(), REPORT_EVERY_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  measure(start: TargetStart, sample: DurationSample): void {
    const {nowMs, hasEngine} = this.options;
    if (!this.isPaced(sample.service, nowMs())) return;
    const relative = compareSample(this.samples, sample);
    if (relative === undefined) return;
    const {ratioLog, weight} = relative;
    recordMeasured(this.table, start, ratioLog, weight, nowMs());
    if (hasEngine(sample.service)) addPending(this.samples, start, relative);
  }

  /** Sends changes to the leader, within `REPORT_BYTES_PER_S`. */
  report(): void {
    const {leader, nowMs, serviceOf, hasEngine} = this.options;
    this.log.write(this.table, this.rowsSent);
    const peer = leader();
    if (peer === undefined || this.table.rows.size === 0) return;
    const isReported = (target: TargetId) => {
      const service = serviceOf(target);
      return service !== undefined && hasEngine(service);
    };
    const rows = takeReports(
      this.reports,
      this.table,
      this.samples,
      isReported,
      nowMs(),
    );
    if (rows.length === 0) return;
    this.rowsSent += rows.length;
    peer.notify('target_loads', {rows} satisfies TargetLoadsMessage);
  }

  /** Reports everything again, as a new leader may not know it. */
  startReporting(): void {
    forgetReported(this.reports);
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
    forgetReported(this.reports, target);
    this.samples.pending.delete(target);
  }

  metrics(): Record<string, number> {
    const {targets, slow} = summarizeLoads(this.table, this.options.nowMs());
    return {
      target_load_rows: targets,
      targets_slow: slow,
      target_load_reports: this.rowsSent,
      target_loads_invalid: this.invalidCount,
    };
  }

  private logInvalid(
    {target, bornMs}: TargetStart,
    loads: readonly LoadFields[],
  ): void {
    this.invalidCount += 1;
    const key = `${target}/${bornMs}`;
    if (this.loggedInvalid.has(key)) return;
    if (this.loggedInvalid.size >= MAX_LOGGED_STARTS) return;
    this.loggedInvalid.add(key);
    this.options.logger.warn('target_load_invalid', {
      target,
      loads: loads.map(fields => fields.join(',')).join(' '),
    });
  }
}

/**
 * Engines that differ in speed and slow down for short times, what entries learn
 * of them, and what the leader knows through the entries' reports.
 */
import type {TargetId} from '@samphirefield/core';
import {sequenceCount, type EngineState} from '@samphirefield/fakes';
import type {TargetSpeeds} from '@samphirefield/gateway';
import {
  addPending,
  compareSample,
  createReports,
  createSamples,
  createTargetLoads,
  durationFactor,
  isPaced,
  learnReport,
  excessLoadOf,
  readLoad,
  recordStatedLoad,
  statedLoadOf,
  takeReports,
} from '@samphirefield/policy/target-load';
import {SERVICE} from './fleet.js';
import {EnginePaces} from './paces.js';
import type {Scenario, Unevenness} from './scenario.js';

/** As in the entries of the cluster package. */
const REPORT_BYTES_PER_S = 400;
/** As in the gateway's pace probe. */
const EVENTS_PER_SAMPLE = 12;
const FIRST_EVENT_BASE_TOKENS = 500;
const BORN_MS = 1;
const PCT = 100;

/** What this module needs of a running request. */
export interface TimedRun {
  readonly run: string;
  readonly tokens: {readonly promptTokens: number};
  readonly sentAtMs: number;
  readonly played: {readonly requestClass: {readonly name: string}};
  lastEventAtMs: number | undefined;
  events: number;
  sampledAtMs: number | undefined;
}

interface PlayedEntry {
  readonly table: ReturnType<typeof createTargetLoads>;
  readonly samples: ReturnType<typeof createSamples>;
  readonly reports: ReturnType<typeof createReports>;
}

export class PlayedSpeeds implements TargetSpeeds {
  private readonly unevenness: Unevenness | undefined;
  private readonly paces: EnginePaces | undefined;
  private readonly entries: PlayedEntry[];
  private readonly table = createTargetLoads();

  constructor(scenario: Scenario, entryCount: number, seed: number) {
    this.unevenness = scenario.unevenness;
    this.paces = this.unevenness && new EnginePaces(this.unevenness, seed);
    this.entries = Array.from({length: entryCount}, () => ({
      table: createTargetLoads(),
      samples: createSamples(),
      reports: createReports(REPORT_BYTES_PER_S, 0),
    }));
  }

  /** Duration of work on the engine now, in multiples of the usual. */
  paceOf(id: TargetId, nowMs: number): number {
    return this.paces?.paceOf(id, nowMs) ?? 1;
  }

  /** An entry receives an event; with the first one, the head of the response. */
  onEvent(
    {id, state}: {readonly id: TargetId; readonly state: EngineState},
    run: TimedRun,
    nowMs: number,
  ): void {
    if (!this.unevenness?.usesTable) return;
    const entry = this.entries[entryOf(run.run, this.entries.length)]!;
    const isFirst = run.lastEventAtMs === undefined;
    if (isFirst) this.recordHead(entry, id, state, nowMs);
    run.events += 1;
    const isSample = run.events >= EVENTS_PER_SAMPLE;
    if (!isFirst && !isSample && run.sampledAtMs !== undefined) return;
    if (isFirst) {
      const tokens = run.tokens.promptTokens + FIRST_EVENT_BASE_TOKENS;
      const durationMs = (nowMs - run.sentAtMs) / tokens;
      this.measure(entry, id, run, 'first_event', durationMs);
    } else if (run.sampledAtMs !== undefined) {
      const durationMs = (nowMs - run.sampledAtMs) / run.events;
      this.measure(entry, id, run, 'event_gap', durationMs);
    }
    run.events = 0;
    run.sampledAtMs = nowMs;
  }

  private recordHead(
    {table}: PlayedEntry,
    target: TargetId,
    state: EngineState,
    nowMs: number,
  ): void {
    const stated = this.paces!.statedPace(target, nowMs);
    const fields = [
      state.running.size,
      state.waiting.size,
      state.config.slots,
      Math.round(stated * PCT),
    ];
    const load = readLoad([fields]);
    if (load === 'none' || load === 'invalid') return;
    const start = {target, bornMs: BORN_MS};
    const ownRuns = sequenceCount(state) - state.waiting.size;
    recordStatedLoad(table, start, SERVICE, statedLoadOf(load, ownRuns), nowMs);
  }

  private measure(
    {samples}: PlayedEntry,
    target: TargetId,
    run: TimedRun,
    kind: 'first_event' | 'event_gap',
    durationMs: number,
  ): void {
    const route = run.played.requestClass.name;
    const sample = {service: SERVICE, kind, route, durationMs};
    const relative = compareSample(samples, sample);
    const start = {target, bornMs: BORN_MS};
    if (relative) addPending(samples, start, relative);
  }

  /** Entries report to the leader. */
  report(nowMs: number): void {
    if (!this.unevenness?.usesTable) return;
    for (const {reports, table, samples} of this.entries) {
      const rows = takeReports(reports, table, samples, () => true, nowMs);
      for (const row of rows)
        learnReport(this.table, row, () => SERVICE, nowMs);
    }
  }

  isPaced(...args: Parameters<TargetSpeeds['isPaced']>): boolean {
    return isPaced(this.table, ...args);
  }

  durationFactor(...args: Parameters<TargetSpeeds['durationFactor']>): number {
    return durationFactor(this.table, ...args);
  }

  excessLoad(...args: Parameters<TargetSpeeds['excessLoad']>): number {
    return excessLoadOf(this.table, ...args);
  }
}

/** The entry of a run, by the number in its id. */
function entryOf(run: string, entryCount: number): number {
  return Number(run.slice(1)) % entryCount;
}

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
  otherLoadOf,
  readLoad,
  recordStatedLoad,
  statedLoadOf,
  takeReports,
} from '@samphirefield/policy/target-load';
import {createRandom} from '@samphirefield/replication/fuzz';
import {uniform} from './draw.js';
import {SERVICE} from './fleet.js';
import type {Scenario, Unevenness} from './scenario.js';

const REPORT_BYTES_PER_S = 400;
const EVENTS_PER_SAMPLE = 12;
const FIRST_EVENT_BASE_TOKENS = 500;
const BORN_MS = 1;
const PCT = 100;

interface Pace {
  readonly steady: number;
  /** The present slowdown, or the next one. */
  slowFromMs: number;
  slowToMs: number;
}

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
  private readonly random;
  private readonly unevenness: Unevenness | undefined;
  private readonly paces = new Map<TargetId, Pace>();
  private readonly entries: PlayedEntry[];
  private readonly table = createTargetLoads();

  constructor(scenario: Scenario, entryCount: number, seed: number) {
    this.unevenness = scenario.unevenness;
    // Speeds have a generator of their own, so that plays with and without the
    // table have the same requests.
    this.random = createRandom(seed + 1_000_003);
    this.entries = Array.from({length: entryCount}, () => ({
      table: createTargetLoads(),
      samples: createSamples(),
      reports: createReports(REPORT_BYTES_PER_S, 0),
    }));
  }

  /** Duration of work on the engine now, in multiples of the usual. */
  paceOf(id: TargetId, nowMs: number): number {
    const {unevenness} = this;
    if (unevenness === undefined) return 1;
    const pace = this.paces.get(id) ?? this.addPace(id, unevenness, nowMs);
    while (nowMs >= pace.slowToMs) this.drawSlowdown(pace, unevenness);
    const isSlow = nowMs >= pace.slowFromMs;
    return pace.steady * (isSlow ? unevenness.slowFactor : 1);
  }

  private addPace(
    id: TargetId,
    {minPace, maxPace}: Unevenness,
    nowMs: number,
  ): Pace {
    const steady = minPace + uniform(this.random.below) * (maxPace - minPace);
    const pace: Pace = {steady, slowFromMs: nowMs, slowToMs: nowMs};
    this.paces.set(id, pace);
    return pace;
  }

  private drawSlowdown(pace: Pace, {slowShare, slowMs}: Unevenness): void {
    const exponential = (mean: number) =>
      -Math.log(uniform(this.random.below)) * mean;
    const usualMs = (slowMs * (1 - slowShare)) / slowShare;
    pace.slowFromMs = pace.slowToMs + exponential(usualMs);
    pace.slowToMs =
      pace.slowFromMs + slowMs * (0.5 + uniform(this.random.below));
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
    if (isFirst) this.hear(entry, id, state, nowMs);
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

  private hear(
    {table}: PlayedEntry,
    target: TargetId,
    state: EngineState,
    nowMs: number,
  ): void {
    const pace = this.paceOf(target, nowMs);
    const steady = this.paces.get(target)!.steady;
    const stated = this.unevenness!.statesSteadyPace ? pace : pace / steady;
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

  otherLoad(...args: Parameters<TargetSpeeds['otherLoad']>): number {
    return otherLoadOf(this.table, ...args);
  }
}

/** The entry of a run, by the number in its id. */
function entryOf(run: string, entryCount: number): number {
  return Number(run.slice(1)) % entryCount;
}

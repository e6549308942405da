/**
 * Plays targets of uneven speed that have no KV cache in virtual time: each entry
 * chooses among them with a dispatcher of its own, by the statements that it
 * receives and the durations that it measures itself.
 */
import {
  instanceId,
  requestId,
  targetId,
  zoneId,
  type TargetId,
} from '@samphirefield/core';
import {Dispatcher, startDemand} from '@samphirefield/gateway';
import {
  compareSample,
  createSamples,
  createTargetLoads,
  durationFactor,
  isPaced,
  excessLoadOf,
  readLoad,
  recordMeasured,
  recordStatedLoad,
  statedLoadOf,
} from '@samphirefield/policy/target-load';
import {createRandom} from '@samphirefield/replication/fuzz';
import {EventQueue} from '../simulate/event-queue.js';
import {acceptsZone, uniform} from './draw.js';
import {SERVICE} from './fleet.js';
import {EnginePaces} from './paces.js';
import {UNEVENNESS, type Unevenness} from './scenario.js';

export interface PlainScenario {
  readonly durationMs: number;
  readonly entries: number;
  readonly targets: number;
  readonly slots: number;
  readonly zones: number;
  readonly perS: number;
  /** Mean time that a request takes on a target of the usual speed. */
  readonly workMs: number;
  readonly objectiveMs: number;
  readonly deadlineMs: number;
  readonly hopMs: number;
  readonly otherZoneHopMs: number;
  readonly unevenness: Unevenness;
}

export const UNEVEN_PLAIN: PlainScenario = {
  durationMs: 30_000,
  entries: 20,
  targets: 24,
  slots: 8,
  zones: 4,
  perS: 1_200,
  workMs: 80,
  objectiveMs: 300,
  deadlineMs: 2_000,
  hopMs: 1,
  otherZoneHopMs: 6,
  unevenness: UNEVENNESS,
};

export interface PlainFigures {
  readonly asked: number;
  readonly inTime: number;
  readonly refused: number;
  readonly otherZone: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
}

interface Job {
  readonly run: string;
  readonly entry: number;
  readonly askedAtMs: number;
  sentAtMs: number;
}

interface Target {
  readonly id: TargetId;
  readonly zone: number;
  readonly queue: Job[];
  running: number;
}

const DISPATCH_EVERY_MS = 100;
const BORN_MS = 1;
const PCT = 100;
/** Requests before this time are not counted, since little is known of targets. */
const COUNTED_FROM_MS = 5_000;

class PlainPlay {
  private readonly events = new EventQueue();
  private readonly random;
  private readonly paces;
  private readonly targets = new Map<TargetId, Target>();
  private readonly entries;
  private readonly durations: number[] = [];
  private readonly jobs = new Map<string, Job>();
  private runCount = 0;
  private asked = 0;
  private refused = 0;
  private otherZone = 0;

  constructor(
    private readonly scenario: PlainScenario,
    seed: number,
  ) {
    this.random = createRandom(seed);
    this.paces = new EnginePaces(scenario.unevenness, seed);
    for (let i = 0; i < scenario.targets; i += 1) {
      const id = targetId(`t${i}`);
      const zone = i % scenario.zones;
      this.targets.set(id, {id, zone, queue: [], running: 0});
    }
    this.entries = Array.from({length: scenario.entries}, (_, i) =>
      this.createEntry(i),
    );
  }

  private createEntry(entry: number) {
    const table = createTargetLoads();
    const {usesTable} = this.scenario.unevenness;
    const dispatcher = new Dispatcher({
      onResult: ({request}, result) => {
        const job = this.jobs.get(request)!;
        if (result.kind === 'granted') this.send(job, result.target);
        else if (job.askedAtMs >= COUNTED_FROM_MS) this.refused += 1;
      },
      share: () => 1,
      random: () => this.random.below(1_000) / 1_000,
      speeds: {
        isPaced: (...args) => usesTable && isPaced(table, ...args),
        durationFactor: (...args) => durationFactor(table, ...args),
        excessLoad: (...args) => excessLoadOf(table, ...args),
      },
    });
    dispatcher.configure(
      [{service: SERVICE, kvTokens: undefined, coldRequestsPerS: 0}],
      new Set(),
    );
    for (const {id, zone} of this.targets.values()) {
      const announcement = {
        id,
        bornMs: BORN_MS,
        sequence: 1,
        service: SERVICE,
        host: id,
        port: 1,
        zone: zoneId(`z${zone}`),
        slots: this.scenario.slots,
        state: 'ready' as const,
        coldLeftMs: 0,
      };
      const record = {announcement, lastSeenAtMs: 0, coldUntilMs: 0};
      dispatcher.setTarget(record, false, 0);
    }
    const zone = entry % this.scenario.zones;
    return {dispatcher, table, samples: createSamples(), zone};
  }

  run(): PlainFigures {
    const {events, scenario} = this;
    this.arriveLater();
    for (let t = 0; t < scenario.durationMs; t += DISPATCH_EVERY_MS) {
      events.schedule(t, () => {
        for (const {dispatcher} of this.entries) dispatcher.dispatchPending(t);
      });
    }
    while (events.step(scenario.durationMs + scenario.deadlineMs));
    const sorted = this.durations.sort((a, b) => a - b);
    const inTime = sorted.filter(ms => ms <= scenario.objectiveMs).length;
    const quantile = (q: number) => sorted[Math.floor(q * sorted.length)] ?? 0;
    return {
      asked: this.asked,
      inTime: inTime / this.asked,
      refused: this.refused / this.asked,
      otherZone: this.otherZone / this.asked,
      p50Ms: quantile(0.5),
      p99Ms: quantile(0.99),
    };
  }

  private arriveLater(): void {
    const {scenario, events} = this;
    const gapMs =
      (-Math.log(uniform(this.random.below)) * 1_000) / scenario.perS;
    const atMs = events.nowMs + gapMs;
    if (atMs > scenario.durationMs) return;
    events.schedule(atMs, () => {
      this.arrive();
      this.arriveLater();
    });
  }

  private arrive(): void {
    const {scenario, events} = this;
    this.runCount += 1;
    const run = `r${this.runCount}`;
    const entry = this.drawEntry();
    const {dispatcher, zone} = this.entries[entry]!;
    const askedAtMs = events.nowMs;
    this.jobs.set(run, {run, entry, askedAtMs, sentAtMs: 0});
    if (askedAtMs >= COUNTED_FROM_MS) this.asked += 1;
    const requester = {
      request: requestId(run),
      service: SERVICE,
      entry: instanceId(`e${entry}`),
      zone: zoneId(`z${zone}`),
      priority: 0,
      workspace: undefined,
      excluded: [],
    };
    const tokens = {
      promptTokens: 0,
      maxOutputTokens: 0,
      hintedOutputTokens: undefined,
    };
    const {objectiveMs, deadlineMs} = scenario;
    dispatcher.acquire(
      startDemand(requester, tokens, objectiveMs, deadlineMs),
      askedAtMs,
    );
  }

  /** Entries of zones with more demand get more requests. */
  private drawEntry(): number {
    const {entries, zones, unevenness} = this.scenario;
    const {below} = this.random;
    const {nowMs} = this.events;
    for (;;) {
      const entry = below(entries);
      const zonePart = (entry % zones) / zones;
      if (acceptsZone(unevenness, zonePart, nowMs, below)) return entry;
    }
  }

  private hopMs(entry: number, target: Target): number {
    const {hopMs, otherZoneHopMs} = this.scenario;
    return this.entries[entry]!.zone === target.zone ? hopMs : otherZoneHopMs;
  }

  private send(job: Job, id: TargetId): void {
    const {events} = this;
    const target = this.targets.get(id)!;
    job.sentAtMs = events.nowMs;
    const isCounted = job.askedAtMs >= COUNTED_FROM_MS;
    const isOtherZone = this.entries[job.entry]!.zone !== target.zone;
    if (isCounted && isOtherZone) this.otherZone += 1;
    events.schedule(events.nowMs + this.hopMs(job.entry, target), () => {
      target.queue.push(job);
      this.startNext(target);
    });
  }

  private startNext(target: Target): void {
    const {scenario, events} = this;
    if (target.running >= scenario.slots) return;
    const job = target.queue.shift();
    if (job === undefined) return;
    target.running += 1;
    const work = scenario.workMs * (0.5 + uniform(this.random.below));
    const pace = this.paces.paceOf(target.id, events.nowMs);
    events.schedule(events.nowMs + work * pace, () => this.end(target, job));
  }

  private end(target: Target, job: Job): void {
    const {events} = this;
    const fields = [
      target.running,
      target.queue.length,
      this.scenario.slots,
      Math.round(this.paces.statedPace(target.id, events.nowMs) * PCT),
    ];
    target.running -= 1;
    this.startNext(target);
    events.schedule(events.nowMs + this.hopMs(job.entry, target), () =>
      this.receive(target.id, job, fields),
    );
  }

  private receive(target: TargetId, job: Job, fields: readonly number[]) {
    const {nowMs} = this.events;
    const {dispatcher, table, samples} = this.entries[job.entry]!;
    const start = {target, bornMs: BORN_MS};
    const load = readLoad([fields]);
    if (load !== 'none' && load !== 'invalid') {
      const stated = statedLoadOf(load, dispatcher.runsOn(target));
      recordStatedLoad(table, start, SERVICE, stated, nowMs);
    }
    const durationMs = nowMs - job.sentAtMs;
    const sample = {kind: 'response', route: 'r', durationMs} as const;
    const relative = compareSample(samples, {...sample, service: SERVICE});
    if (relative)
      recordMeasured(table, start, relative.ratioLog, relative.weight, nowMs);
    this.jobs.delete(job.run);
    if (job.askedAtMs >= COUNTED_FROM_MS)
      this.durations.push(nowMs - job.askedAtMs);
    dispatcher.release(requestId(job.run), 'served', nowMs);
  }
}

export function playPlainTargets(
  scenario: PlainScenario,
  seed: number,
): PlainFigures {
  return new PlainPlay(scenario, seed).run();
}

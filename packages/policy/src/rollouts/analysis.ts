/**
 * Compares the responses of each new target on each route with what the old
 * version did at the same time, over the whole rollout and over the last seconds:
 * a version that turns bad late shows in the last seconds first.
 */
import type {TargetId} from '@samphirefield/core';
import {
  addOld,
  createBaseline,
  disturbance,
  fadeBaseline,
  oldRate,
  oldResponses,
  overdueMs,
  sampleOf,
  TESTS,
  type Baseline,
  type Test,
} from './baseline.js';
import type {Counts, RouteCounts} from './evidence.js';
import type {RouteUse, TargetUse} from './grant.js';
import {
  weigh,
  type TargetFault,
  type TargetTally,
  type Weight,
} from './likelihood.js';
import {addPending, overdueAttempts, type PendingTable} from './pending.js';

/** Half-life of the recent responses of the new version. */
const RECENT_HALF_LIFE_MS = 2_000;
/** A decayed number of recent responses below this is set to 0. */
const MIN_RECENT_RESPONSES = 0.05;
/**
 * The old version's rate is not trusted beyond this many responses, since rates
 * vary more between targets and times than chance alone makes them.
 */
const MAX_STRENGTH: Record<Test, number> = {failures: 1_000, slowness: 200};
/**
 * All responses, those of the last seconds, and those of requests that were sent
 * to a target under load, in a pulse (pulse.ts).
 */
const HORIZONS = ['total', 'recent', 'loaded'] as const;
export type Horizon = (typeof HORIZONS)[number];
/** Requests sent without load aren't tested, but show that targets are sound. */
type Part = Horizon | 'unloaded';

interface Tally {
  responses: number;
  events: number;
  expected: number;
}

type Cell = Record<Test, Record<Part, Tally>>;

export interface Analysis {
  readonly baseline: Baseline;
  readonly pending: PendingTable;
  readonly cells: Map<string, Map<TargetId, Cell>>;
  readonly seenUsable: Set<TargetId>;
  /** Targets that were gone at some time, also if they came back. */
  readonly seenGone: Set<TargetId>;
  /** Sound and bad responses of the new version. */
  responses: number;
  /** Bad and slow responses of the new version. */
  badResponses: number;
  lastMs: number;
}

/** How one test of one route, or of all routes, weighs. */
export interface TestWeight extends Weight {
  readonly test: Test;
  readonly route: string | undefined;
  readonly horizon: Horizon;
}

/** What is known of the reported responses. */
export interface Circumstances {
  /** False while the new targets warm up. */
  readonly countsSlowness: boolean;
  readonly loadOf: (target: TargetId) => 'loaded' | 'unloaded' | 'unclear';
}

export function createAnalysis(nowMs: number): Analysis {
  return {
    baseline: createBaseline(),
    pending: new Map(),
    cells: new Map(),
    seenUsable: new Set(),
    seenGone: new Set(),
    responses: 0,
    badResponses: 0,
    lastMs: nowMs,
  };
}

const createTally = (): Tally => ({responses: 0, events: 0, expected: 0});
const createTallies = (): Record<Part, Tally> => ({
  total: createTally(),
  recent: createTally(),
  loaded: createTally(),
  unloaded: createTally(),
});
const createCell = (): Cell => ({
  failures: createTallies(),
  slowness: createTallies(),
});

function cellOf({cells}: Analysis, route: string, target: TargetId): Cell {
  const byTarget = cells.get(route) ?? new Map<TargetId, Cell>();
  cells.set(route, byTarget);
  const cell = byTarget.get(target) ?? createCell();
  byTarget.set(target, cell);
  return cell;
}

function fadeCells({cells}: Analysis, keep: number): void {
  for (const byTarget of cells.values()) {
    for (const cell of byTarget.values()) {
      for (const test of TESTS) {
        const {recent} = cell[test];
        const isOver = recent.responses * keep < MIN_RECENT_RESPONSES;
        const factor = isOver ? 0 : keep;
        recent.responses *= factor;
        recent.events *= factor;
        recent.expected *= factor;
      }
    }
  }
}

function addNew(
  analysis: Analysis,
  route: string,
  target: TargetId,
  counts: Counts,
  disturbed: Record<Test, number>,
  {countsSlowness, loadOf}: Circumstances,
): void {
  const {baseline} = analysis;
  const cell = cellOf(analysis, route, target);
  const tests = TESTS.filter(test => test === 'failures' || countsSlowness);
  const load = loadOf(target);
  const parts: Part[] = ['total', 'recent'];
  if (load !== 'unclear') parts.push(load);
  for (const test of tests) {
    const sample = sampleOf(baseline, route, test, counts);
    if (!sample) continue;
    const rate = oldRate(baseline, route, test, disturbed[test]);
    analysis.badResponses += sample.events;
    if (test === 'failures') analysis.responses += sample.responses;
    for (const part of parts) {
      const tally = cell[test][part];
      tally.responses += sample.responses;
      tally.events += sample.events;
      tally.expected += sample.responses * rate;
    }
  }
}

/** Adds what was reported since the last call. */
export function analyze(
  analysis: Analysis,
  fresh: ReadonlyMap<string, RouteCounts>,
  circumstances: Circumstances,
  nowMs: number,
): void {
  const {baseline, pending} = analysis;
  const passedMs = Math.max(0, nowMs - analysis.lastMs);
  analysis.lastMs = nowMs;
  fadeBaseline(baseline, passedMs);
  fadeCells(analysis, 0.5 ** (passedMs / RECENT_HALF_LIFE_MS));
  addPending(pending, fresh, nowMs);
  for (const [route, {old}] of fresh) addOld(baseline, route, old);
  const disturbed = {
    failures: disturbance(baseline, 'failures'),
    slowness: disturbance(baseline, 'slowness'),
  };
  for (const [route, {byTarget}] of fresh) {
    for (const [target, counts] of byTarget)
      addNew(analysis, route, target, counts, disturbed, circumstances);
  }
}

/** Responses of the new version by target. */
export function targetUses({cells}: Analysis): Map<TargetId, TargetUse> {
  const uses = new Map<TargetId, TargetUse>();
  for (const byTarget of cells.values()) {
    for (const [target, {failures}] of byTarget) {
      const known = uses.get(target);
      uses.set(target, {
        responses: (known?.responses ?? 0) + failures.total.responses,
        loadedResponses:
          (known?.loadedResponses ?? 0) + failures.loaded.responses,
      });
    }
  }
  return uses;
}

/** Responses of both versions on each route that has traffic. */
export function routeUses({baseline, cells}: Analysis): RouteUse[] {
  return [...baseline.routes].map(([route, {total}]) => {
    let newResponses = 0;
    for (const {failures} of cells.get(route)?.values() ?? [])
      newResponses += failures.total.responses;
    return {route, oldResponses: total.failures.responses, newResponses};
  });
}

type Tallies = Map<TargetId, Tally>;

function addTallies(
  sums: Tallies,
  byTarget: ReadonlyMap<TargetId, Cell>,
  test: Test,
  horizon: Horizon,
): void {
  for (const [target, cell] of byTarget) {
    const sum = sums.get(target) ?? createTally();
    const {responses, events, expected} = cell[test][horizon];
    sum.responses += responses;
    sum.events += events;
    sum.expected += expected;
    sums.set(target, sum);
  }
}

/**
 * Expected rate of slow responses of a target without responses, as baseline.ts
 * assumes it when a rollout begins.
 */
const ASSUMED_SLOW_RATE = 0.05;

/** Counts overdue attempts as slow, with the expectation of the others. */
function addOverdue(sums: Tallies, overdue: ReadonlyMap<TargetId, number>) {
  for (const [target, count] of overdue) {
    const sum = sums.get(target) ?? createTally();
    const usual =
      sum.responses > 0 ? sum.expected / sum.responses : ASSUMED_SLOW_RATE;
    sum.responses += count;
    sum.events += count;
    sum.expected += count * usual;
    sums.set(target, sum);
  }
}

/** Events of a target on other routes that show that it is faulty itself. */
const MIN_FAULT_EVENTS = 2;
const MIN_FAULT_RATIO = 3;
/** Other responses that show that a target is sound otherwise. */
const MIN_SOUND_RESPONSES = 4;

/** What other observations tell about whether a target is faulty. */
function faultOf(
  analysis: Analysis,
  target: TargetId,
  test: Test,
  horizon: Horizon,
  sums: {readonly own: Tally; readonly all: Tally},
): TargetFault {
  if (analysis.seenGone.has(target)) return 'known';
  const {all, own} = sums;
  const events = all.events - own.events;
  const expected = all.expected - own.expected;
  if (events >= MIN_FAULT_EVENTS && events > MIN_FAULT_RATIO * expected)
    return 'known';
  const others = all.responses - own.responses;
  if (isSound({responses: others, events, expected})) return 'unlikely';
  if (horizon !== 'loaded') return 'possible';
  return isSound(unloadedTally(analysis, target, test))
    ? 'unlikely'
    : 'possible';
}

function isSound({responses, events, expected}: Tally): boolean {
  return responses >= MIN_SOUND_RESPONSES && events <= expected + 1;
}

/** Responses of a target to requests that were sent without load. */
function unloadedTally({cells}: Analysis, target: TargetId, test: Test): Tally {
  const sum = createTally();
  for (const byTarget of cells.values()) {
    const cell = byTarget.get(target)?.[test].unloaded;
    sum.responses += cell?.responses ?? 0;
    sum.events += cell?.events ?? 0;
    sum.expected += cell?.expected ?? 0;
  }
  return sum;
}

function toTallies(
  analysis: Analysis,
  sums: Tallies,
  all: Tallies,
  test: Test,
  horizon: Horizon,
): TargetTally[] {
  return [...sums]
    .filter(([, {responses}]) => responses > 0)
    .map(([target, own]) => {
      const both = {own, all: all.get(target) ?? own};
      const fault = faultOf(analysis, target, test, horizon, both);
      return {target, fault, ...own};
    });
}

/** The sums over all routes, and those of each route. */
function sumUp(
  {cells}: Analysis,
  test: Test,
  horizon: Horizon,
): {all: Tallies; routes: Map<string, Tallies>} {
  const all: Tallies = new Map();
  const routes = new Map<string, Tallies>();
  for (const [route, byTarget] of cells) {
    const ofRoute: Tallies = new Map();
    addTallies(all, byTarget, test, horizon);
    addTallies(ofRoute, byTarget, test, horizon);
    routes.set(route, ofRoute);
  }
  return {all, routes};
}

/** Weighs every test over all routes and on each route. */
export function weighAll(
  analysis: Analysis,
  usable: ReadonlySet<TargetId>,
  countsOverdue: boolean,
  nowMs: number,
): TestWeight[] {
  const {baseline, pending, seenUsable} = analysis;
  noteGone(analysis, usable);
  const overdueOn = (route: string) =>
    overdueAttempts(pending, route, overdueMs(baseline, route), nowMs);
  const targets = seenUsable.size;
  const weights: TestWeight[] = [];
  for (const test of TESTS) {
    for (const horizon of HORIZONS) {
      const {all, routes} = sumUp(analysis, test, horizon);
      if (countsOverdue && test === 'slowness' && horizon !== 'loaded') {
        for (const [route, sums] of routes) {
          const overdue = overdueOn(route);
          addOverdue(sums, overdue);
          addOverdue(all, overdue);
        }
      }
      const scopes = [[undefined, all] as const, ...routes];
      for (const [route, sums] of scopes) {
        const known = oldResponses(baseline, route, test);
        const strength = Math.min(MAX_STRENGTH[test], known + 1);
        const tallies = toTallies(analysis, sums, all, test, horizon);
        const weight = weigh(tallies, targets, strength);
        weights.push({test, route, horizon, ...weight});
      }
    }
  }
  return weights;
}

/** Remembers targets that were usable and are no longer. */
function noteGone(
  {seenGone, seenUsable}: Analysis,
  usable: ReadonlySet<TargetId>,
): void {
  for (const target of usable) seenUsable.add(target);
  for (const target of seenUsable) {
    if (!usable.has(target)) seenGone.add(target);
  }
}

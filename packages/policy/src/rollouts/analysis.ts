/**
 * Compares the responses of each new target on each route with what the old
 * version did at the same time, over the whole rollout and over the last seconds:
 * a version that turns bad late shows in the second before the first.
 */
import type {TargetId} from '@samphirefield/core';
import {
  addOld,
  createBaseline,
  disturbance,
  fadeBaseline,
  oldRate,
  oldResponses,
  sampleOf,
  TESTS,
  usualLatencyMs,
  type Baseline,
  type Test,
} from './baseline.js';
import type {Counts, RouteCounts} from './evidence.js';
import {weigh, type TargetTally, type Weight} from './likelihood.js';
import {
  addPending,
  createPending,
  overdueAttempts,
  type PendingTable,
} from './pending.js';

/** Half-life of what "now" means for the old version. */
const NOW_HALF_LIFE_MS = 1_000;
/** Half-life of the recent responses of the new version. */
const RECENT_HALF_LIFE_MS = 2_000;
/** Fewer of the recent responses than this are dropped. */
const MIN_RECENT_RESPONSES = 0.05;
/**
 * The old version's rate is not trusted beyond this many responses, since rates
 * vary more between targets and times than chance alone makes them.
 */
const MAX_STRENGTH: Record<Test, number> = {failures: 1_000, slowness: 200};
const HORIZONS = ['total', 'recent'] as const;
type Horizon = (typeof HORIZONS)[number];

interface Tally {
  responses: number;
  events: number;
  expected: number;
}

type Cell = Record<Test, Record<Horizon, Tally>>;

export interface Analysis {
  readonly baseline: Baseline;
  readonly pending: PendingTable;
  readonly cells: Map<string, Map<TargetId, Cell>>;
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
}

export function createAnalysis(nowMs: number): Analysis {
  return {
    baseline: createBaseline(),
    pending: createPending(),
    cells: new Map(),
    responses: 0,
    badResponses: 0,
    lastMs: nowMs,
  };
}

const createTally = (): Tally => ({responses: 0, events: 0, expected: 0});
const createCell = (): Cell => ({
  failures: {total: createTally(), recent: createTally()},
  slowness: {total: createTally(), recent: createTally()},
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
  tests: readonly Test[],
): void {
  const {baseline} = analysis;
  const cell = cellOf(analysis, route, target);
  for (const test of tests) {
    const sample = sampleOf(baseline, route, test, counts);
    if (!sample) continue;
    const rate = oldRate(baseline, route, test, disturbed[test]);
    analysis.badResponses += sample.events;
    if (test === 'failures') analysis.responses += sample.responses;
    for (const horizon of HORIZONS) {
      const tally = cell[test][horizon];
      tally.responses += sample.responses;
      tally.events += sample.events;
      tally.expected += sample.responses * rate;
    }
  }
}

/**
 * Takes in what was reported since the last call. While the new targets warm up,
 * `countsSlowness` is false.
 */
export function analyze(
  analysis: Analysis,
  fresh: ReadonlyMap<string, RouteCounts>,
  countsSlowness: boolean,
  nowMs: number,
): void {
  const {baseline, pending} = analysis;
  const passedMs = Math.max(0, nowMs - analysis.lastMs);
  analysis.lastMs = nowMs;
  fadeBaseline(baseline, 0.5 ** (passedMs / NOW_HALF_LIFE_MS));
  fadeCells(analysis, 0.5 ** (passedMs / RECENT_HALF_LIFE_MS));
  addPending(pending, fresh, nowMs);
  for (const [route, {old}] of fresh) addOld(baseline, route, old);
  const disturbed = {
    failures: disturbance(baseline, 'failures'),
    slowness: disturbance(baseline, 'slowness'),
  };
  const tests = TESTS.filter(test => test === 'failures' || countsSlowness);
  for (const [route, {byTarget}] of fresh) {
    for (const [target, counts] of byTarget)
      addNew(analysis, route, target, counts, disturbed, tests);
  }
}

/** Responses of the new version by target. */
export function responsesByTarget({cells}: Analysis): Map<TargetId, number> {
  const sums = new Map<TargetId, number>();
  for (const byTarget of cells.values()) {
    for (const [target, {failures}] of byTarget)
      sums.set(target, (sums.get(target) ?? 0) + failures.total.responses);
  }
  return sums;
}

/** Responses of the new version on each route that has traffic. */
export function responsesByRoute(analysis: Analysis): Map<string, number> {
  const sums = new Map<string, number>();
  for (const route of analysis.baseline.routes.keys()) {
    let sum = 0;
    for (const {failures} of analysis.cells.get(route)?.values() ?? [])
      sum += failures.total.responses;
    sums.set(route, sum);
  }
  return sums;
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

/** Counts overdue attempts as slow, with the expectation of the others. */
function addOverdue(sums: Tallies, overdue: ReadonlyMap<TargetId, number>) {
  for (const [target, count] of overdue) {
    const sum = sums.get(target) ?? createTally();
    const usual = sum.responses > 0 ? sum.expected / sum.responses : 0.05;
    sum.responses += count;
    sum.events += count;
    sum.expected += count * usual;
    sums.set(target, sum);
  }
}

/** Weighs every test over all routes and on each route. */
export function weighAll(
  analysis: Analysis,
  usable: ReadonlySet<TargetId>,
  nowMs: number,
): TestWeight[] {
  const {baseline, cells, pending} = analysis;
  const usualMs = usualLatencyMs(baseline);
  const overdue = overdueAttempts(pending, usualMs, nowMs);
  const weights: TestWeight[] = [];
  const add = (test: Test, route: string | undefined, sums: Tallies) => {
    const tallies: TargetTally[] = [];
    for (const [target, sum] of sums) {
      if (sum.responses > 0)
        tallies.push({target, isGone: !usable.has(target), ...sum});
    }
    const known = oldResponses(baseline, route, test);
    const strength = Math.min(MAX_STRENGTH[test], known + 1);
    weights.push({test, route, ...weigh(tallies, usable.size, strength)});
  };
  for (const test of TESTS) {
    for (const horizon of HORIZONS) {
      const all: Tallies = new Map();
      for (const [route, byTarget] of cells) {
        addTallies(all, byTarget, test, horizon);
        const ofRoute: Tallies = new Map();
        addTallies(ofRoute, byTarget, test, horizon);
        add(test, route, ofRoute);
      }
      if (test === 'slowness') addOverdue(all, overdue);
      add(test, undefined, all);
    }
  }
  return weights;
}

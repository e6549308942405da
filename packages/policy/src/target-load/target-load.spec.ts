/** The load and speed of targets, without a network. */
import {expect} from 'earl';
import fc from 'fast-check';
import {test} from 'node:test';
import {serviceId, targetId} from '@samphirefield/core';
import {
  addPending,
  compareSample,
  createReports,
  createSamples,
  createTargetLoads,
  durationFactor,
  forgetReported,
  isPaced,
  learnReport,
  excessLoadOf,
  readLoad,
  recordMeasured,
  recordStatedLoad,
  statedLoadOf,
  takeReports,
  type EncodedReport,
  type TargetLoadTable,
} from './index.js';

const S = serviceId('s');
const T = targetId('t');
const START = {target: T, bornMs: 10};
const SHORT_MS = 20;
const LONG_MS = 8_000;

function state(
  table: TargetLoadTable,
  pace: number,
  atMs: number,
  otherLoad = 0,
  start = START,
) {
  return recordStatedLoad(table, start, S, {otherLoad, pace}, atMs);
}

/** States a pace ten times a second. */
function stateFor(table: TargetLoadTable, pace: number, toMs: number) {
  for (let atMs = 0; atMs <= toMs; atMs += 100) state(table, pace, atMs);
}

test('a load that cannot be meant is used', () => {
  const N = Number.NaN;
  const invalid = [
    [[1, 2]],
    [[-1, 0, 4]],
    [[1, 0, N]],
    [[1, 0, 0]],
    [[1, 0, 4, N]],
    [[1, 0, 4, 0]],
    [[1, 0, 4, 100, 1]],
    [[1, 0, 1e9]],
    [[1, 0, 4, 1e9]],
    [[1, 0.5, 4]],
    [[]],
    [
      [1, 0, 4],
      [1, 0, 4],
    ],
  ];
  for (const loads of invalid) expect(readLoad(loads)).toEqual('invalid');
  expect(readLoad([])).toEqual('none');
  const load = {running: 1, waiting: 0, slots: 4};
  expect(readLoad([[1, 0, 4]])).toEqual({...load, pacePct: undefined});
  expect(readLoad([[1, 0, 4, 250]])).toEqual({...load, pacePct: 250});
});

test('a slowdown that ends soon counts as much for long work as for short', () => {
  const table = createTargetLoads();
  stateFor(table, 1, 5_000);
  state(table, 2.5, 5_050);
  const short = durationFactor(table, START, SHORT_MS, 5_050);
  const long = durationFactor(table, START, LONG_MS, 5_050);
  expect(short).toBeGreaterThan(2);
  expect(long).toBeLessThan(1.1);
});

test('a steady difference of speed is not learned within seconds', () => {
  const table = createTargetLoads();
  state(table, 1, 0);
  for (let atMs = 100; atMs <= 20_000; atMs += 100) state(table, 1.7, atMs);
  expect(durationFactor(table, START, LONG_MS, 20_000)).toBeGreaterThan(1.6);
});

test('short slowdowns are taken for a steady difference', () => {
  const table = createTargetLoads();
  for (let atMs = 0; atMs < 30_000; atMs += 100)
    state(table, atMs % 4_000 < 600 ? 2.5 : 1, atMs);
  expect(durationFactor(table, START, LONG_MS, 30_000)).toBeLessThan(1.2);
});

test('a statement older than two seconds, or of an earlier start, still counts', () => {
  const table = createTargetLoads();
  stateFor(table, 1, 5_000);
  state(table, 4, 5_000, 1);
  expect(durationFactor(table, START, SHORT_MS, 7_000)).toBeLessThan(1.2);
  expect(excessLoadOf(table, START, 7_000)).toBeLessThan(0.05);
  const next = {target: T, bornMs: 20};
  expect(durationFactor(table, next, SHORT_MS, 5_000)).toEqual(1);
  state(table, 1, 5_100, 0, next);
  expect(state(table, 4, 5_200)).toEqual(false);
  recordMeasured(table, START, 3, 50, 5_200);
  expect(durationFactor(table, next, SHORT_MS, 5_200)).toEqual(1);
});

test('a target that always states a wrong pace keeps its effect', () => {
  for (const [stated, truth] of [
    [0.4, 1],
    [4, 1],
  ] as const) {
    const table = createTargetLoads();
    for (let atMs = 0; atMs < 10_000; atMs += 100) {
      state(table, stated, atMs);
      recordMeasured(table, START, Math.log(truth), 1, atMs);
    }
    const factor = durationFactor(table, START, LONG_MS, 10_000);
    expect(factor).toBeGreaterThan(0.85);
    expect(factor).toBeLessThan(1.25);
  }
});

test('wrong values shut a target out, or make it look better than all', () => {
  const value = fc.record({
    pace: fc.double({min: -1e9, max: 1e9, noNaN: true}),
    otherLoad: fc.double({min: -1e9, max: 1e9, noNaN: true}),
    meanLog: fc.double({min: -50, max: 50, noNaN: true}),
    gapMs: fc.nat({max: 3_000}),
  });
  const property = fc.property(fc.array(value, {maxLength: 50}), values => {
    const table = createTargetLoads();
    let nowMs = 0;
    for (const {pace, otherLoad, meanLog, gapMs} of values) {
      nowMs += gapMs;
      state(table, pace, nowMs, otherLoad);
      recordMeasured(table, START, meanLog, 1, nowMs);
      for (const workMs of [0, SHORT_MS, LONG_MS]) {
        const factor = durationFactor(table, START, workMs, nowMs);
        expect(factor >= 0.4 && factor <= 4).toEqual(true);
      }
      const load = excessLoadOf(table, START, nowMs);
      expect(load >= -2 && load <= 2).toEqual(true);
    }
    const forgottenMs = nowMs + 120_000;
    const later = durationFactor(table, START, SHORT_MS, forgottenMs);
    expect(Math.abs(later - 1) < 0.1).toEqual(true);
  });
  fc.assert(property, {seed: 412, numRuns: 200});
});

test('runs of the dispatcher itself count as load of others', () => {
  const load = {running: 6, waiting: 2, slots: 10, pacePct: 100};
  expect(statedLoadOf(load, 3).otherLoad).toEqual(0.5);
  expect(statedLoadOf(load, 20).otherLoad).toEqual(0);
});

test('a target that was not heard for a while counts as idle', () => {
  const table = createTargetLoads();
  const idle = {target: targetId('idle'), bornMs: 1};
  for (let atMs = 0; atMs < 5_000; atMs += 10) state(table, 1, atMs, 0.5);
  state(table, 1, 5_000, 0, idle);
  expect(excessLoadOf(table, idle, 5_000)).toBeLessThan(-0.4);
  expect(excessLoadOf(table, idle, 9_000)).toBeGreaterThan(-0.01);
  expect(Math.abs(excessLoadOf(table, START, 5_000))).toBeLessThan(0.05);
});

test('a service without a stated pace is decided by the table', () => {
  const table = createTargetLoads();
  expect(isPaced(table, S, 0)).toEqual(false);
  state(table, 1, 0);
  expect(isPaced(table, S, 0)).toEqual(true);
  expect(isPaced(table, serviceId('other'), 0)).toEqual(false);
  expect(isPaced(table, S, 120_000)).toEqual(false);
});

test('a slow target is not noticed without a statement', () => {
  const table = createTargetLoads();
  const samples = createSamples();
  for (let i = 0; i < 400; i += 1) {
    const isSlow = i % 4 === 0;
    const durationMs = isSlow ? 25 : 10;
    const sample = {service: S, kind: 'event_gap', route: 'r'} as const;
    const relative = compareSample(samples, {...sample, durationMs});
    const start = isSlow ? START : {target: targetId('u'), bornMs: 1};
    if (relative === undefined) continue;
    const {ratioLog, weight} = relative;
    recordMeasured(table, start, ratioLog, weight, i * 20);
  }
  expect(durationFactor(table, START, LONG_MS, 8_000)).toBeGreaterThan(1.5);
});

test('reports exceed their bytes, or the newest change is not among them', () => {
  const table = createTargetLoads();
  const samples = createSamples();
  const bytesPerS = 400;
  const reports = createReports(bytesPerS, 0);
  let bytes = 0;
  let lastRows: EncodedReport[] = [];
  for (let nowMs = 0; nowMs < 10_000; nowMs += 100) {
    for (let i = 0; i < 100; i += 1) {
      const start = {target: targetId(`t${i}`), bornMs: 10};
      state(table, 1 + ((i + nowMs / 100) % 3), nowMs, 0, start);
    }
    const rows = takeReports(reports, table, samples, () => true, nowMs);
    if (rows.length === 0) continue;
    bytes += JSON.stringify({rows}).length;
    lastRows = rows;
  }
  expect(bytes <= 11 * bytesPerS).toEqual(true);
  expect(bytes > 5 * bytesPerS).toEqual(true);
  expect(lastRows.every(([, , ageMs]) => ageMs < 1_000)).toEqual(true);
});

test('an unchanged statement is reported again and again', () => {
  const table = createTargetLoads();
  const samples = createSamples();
  const reports = createReports(400, 0);
  let rowCount = 0;
  for (let nowMs = 0; nowMs < 3_000; nowMs += 100) {
    state(table, 1, nowMs);
    const rows = takeReports(reports, table, samples, () => true, nowMs);
    rowCount += rows.length;
  }
  expect(rowCount <= 3).toEqual(true);
});

test('a new leader hears nothing of steady paces, or takes a slowdown for one', () => {
  const table = createTargetLoads();
  const reports = createReports(400, 0);
  const take = (nowMs: number) =>
    takeReports(reports, table, createSamples(), () => true, nowMs);
  stateFor(table, 1.7, 5_000);
  state(table, 4, 5_050);
  expect(take(5_060).map(row => row[4])).toEqual([400]);
  forgetReported(reports);
  const [row] = take(9_000);
  expect(row![4]).toBeLessThan(190);
  expect(take(9_100)).toEqual([]);
  forgetReported(reports);
  expect(take(20_000)).toEqual([]);
});

test('a report leads the leader to another estimate than the entry', () => {
  const entry = createTargetLoads();
  const samples = createSamples();
  const leader = createTargetLoads();
  state(entry, 1.6, 900, 0.3);
  addPending(samples, START, {ratioLog: 0.5, weight: 8});
  recordMeasured(entry, START, 0.5, 8, 1_000);
  const reports = createReports(400, 0);
  const [row] = takeReports(reports, entry, samples, () => true, 1_000);
  const clockMs = 50_000;
  learnReport(leader, row, () => S, clockMs);
  for (const workMs of [SHORT_MS, LONG_MS]) {
    const own = durationFactor(entry, START, workMs, 1_000);
    const learned = durationFactor(leader, START, workMs, clockMs);
    expect(Math.abs(own - learned) < 0.02).toEqual(true);
  }
  expect(learnReport(leader, ['t', 1, 'x'], () => S, 0)).toEqual(false);
  expect(learnReport(leader, row, () => undefined, 0)).toEqual(false);
});

test('statements of endless new targets take endless memory', () => {
  const table = createTargetLoads();
  const samples = createSamples();
  for (let i = 0; i < 10_000; i += 1) {
    const start = {target: targetId(`t${i}`), bornMs: 1};
    recordStatedLoad(
      table,
      start,
      serviceId(`s${i}`),
      {otherLoad: 0, pace: 1},
      i,
    );
    addPending(samples, start, {ratioLog: 0, weight: 1});
    const sample = {service: S, kind: 'response', route: `r${i}`} as const;
    compareSample(samples, {...sample, durationMs: 1});
  }
  expect(table.rows.size <= 4_096).toEqual(true);
  expect(table.services.size <= 256).toEqual(true);
  expect(samples.pending.size <= 4_096).toEqual(true);
  expect(samples.baselines.size <= 1_024).toEqual(true);
});

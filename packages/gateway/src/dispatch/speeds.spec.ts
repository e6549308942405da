/** The dispatcher's choice where targets state how fast they work. */
import {expect} from 'earl';
import fc from 'fast-check';
import {test} from 'node:test';
import {
  instanceId,
  requestId,
  serviceId,
  targetId,
  zoneId,
} from '@samphirefield/core';
import {
  createTargetLoads,
  durationFactor,
  isPaced,
  excessLoadOf,
  recordMeasured,
  recordStatedLoad,
} from '@samphirefield/policy/target-load';
import type {TargetRecord} from '../registry/index.js';
import {Dispatcher} from './dispatcher.js';
import type {TargetSpeeds} from './speeds.js';
import type {Demand} from './types.js';

const SERVICE = serviceId('s');
const KV_TOKENS = 10_000;
const SLOTS = 4;

function record(number: number): TargetRecord {
  return {
    announcement: {
      id: targetId(`t${number}`),
      bornMs: 1,
      sequence: 1,
      service: SERVICE,
      host: 'h',
      port: 1,
      zone: zoneId(`z${number % 2}`),
      slots: SLOTS,
      state: 'ready',
      coldLeftMs: 0,
    },
    lastSeenAtMs: 0,
    coldUntilMs: 0,
  };
}

function demand(number: number, kvTokens: number, zone = 0): Demand {
  return {
    request: requestId(`r${number}`),
    service: SERVICE,
    entry: instanceId('e1'),
    zone: zoneId(`z${zone}`),
    otherZonePenalty: 0.06,
    kvTokens,
    prefillTokens: kvTokens / 2,
    isRunning: false,
    priority: 0,
    workspace: undefined,
    inTimeMs: 1_000,
    patienceMs: Number.MAX_SAFE_INTEGER,
    noTargetWaitMs: 1_000,
    maxWaitMs: 5_000,
    excluded: [],
  };
}

function speedsOf(): {
  speeds: TargetSpeeds;
  table: ReturnType<typeof createTargetLoads>;
} {
  const table = createTargetLoads();
  const speeds: TargetSpeeds = {
    isPaced: (service, nowMs) => isPaced(table, service, nowMs),
    durationFactor: (start, workMs, nowMs) =>
      durationFactor(table, start, workMs, nowMs),
    excessLoad: (start, nowMs) => excessLoadOf(table, start, nowMs),
  };
  return {speeds, table};
}

function setUp(targets: number, speeds?: TargetSpeeds) {
  const results: Array<readonly [string, string]> = [];
  let draws = 0;
  const dispatcher = new Dispatcher({
    onResult: ({request}, result) =>
      results.push([
        request,
        result.kind === 'granted' ? result.target : result.reason,
      ]),
    share: () => 1,
    random: () => (draws += 0.618) % 1,
    ...(speeds && {speeds}),
  });
  dispatcher.configure(
    [{service: SERVICE, kvTokens: KV_TOKENS, coldRequestsPerS: 0}],
    new Set(),
  );
  for (let i = 0; i < targets; i += 1)
    dispatcher.setTarget(record(i), false, 0);
  return {dispatcher, results};
}

const start = (number: number) => ({target: targetId(`t${number}`), bornMs: 1});

test('without a stated pace a choice differs from that without the table', () => {
  const event = fc.record({
    gapMs: fc.nat({max: 400}),
    kvTokens: fc.integer({min: 100, max: 6_000}),
    zone: fc.nat({max: 1}),
    ends: fc.nat({max: 20}),
    measured: fc.double({min: -1, max: 1, noNaN: true}),
  });
  const property = fc.property(fc.array(event, {maxLength: 120}), events => {
    const {speeds, table} = speedsOf();
    const without = setUp(5);
    const withTable = setUp(5, speeds);
    let nowMs = 10_000;
    events.forEach(({gapMs, kvTokens, zone, ends, measured}, i) => {
      nowMs += gapMs;
      recordMeasured(table, start(i % 5), measured, 3, nowMs);
      for (const {dispatcher} of [without, withTable]) {
        dispatcher.acquire(demand(i, kvTokens, zone), nowMs);
        dispatcher.release(requestId(`r${i - ends}`), 'served', nowMs);
        dispatcher.dispatchPending(nowMs);
      }
    });
    expect(withTable.results).toEqual(without.results);
  });
  fc.assert(property, {seed: 77, numRuns: 200});
});

/** The targets of consecutive requests of one size, none of which ends. */
function choices(count: number, kvTokens: number, slow: number, pace: number) {
  const {speeds, table} = speedsOf();
  const {dispatcher, results} = setUp(2, speeds);
  const nowMs = 60_000;
  for (const target of [0, 1]) {
    const stated = {otherLoad: 0, pace: target === slow ? pace : 1};
    recordStatedLoad(table, start(target), SERVICE, stated, nowMs);
  }
  for (let i = 0; i < count; i += 1)
    dispatcher.acquire(demand(i, kvTokens, 1), nowMs);
  return results.map(([, target]) => target);
}

test('a target that works slowly gets as much as a fast one in its zone', () => {
  expect(choices(2, 100, 1, 2.5)).toEqual(['t0', 't0']);
  // The price of the other zone outweighs a small difference.
  expect(choices(1, 1_000, 1, 1.05)).toEqual(['t1']);
});

test('a target that states to be fast gets more than it has room for', () => {
  const targets = choices(2 * SLOTS + 4, 100, 0, 0.1);
  const onFast = targets.filter(target => target === 't0');
  expect(onFast.length).toEqual(SLOTS);
  expect(targets.filter(target => target === 't1').length).toEqual(SLOTS);
});

test('a target that states to be very slow gets nothing where others are full', () => {
  const targets = choices(2 * SLOTS, 100, 0, 1_000);
  expect(targets.filter(target => target === 't0').length).toEqual(SLOTS);
});

/** Loads of models: how many, how fast, and what a new leader has to wait for. */
import {expect} from 'earl';
import {test} from 'node:test';
import {modelId, serviceId, targetId} from '@samphirefield/core';
import {
  createPlacementTable,
  nextLoadOrder,
  withdrawLoadOrder,
  type DesiredModel,
  type PlaceableTarget,
  type PlacementTiming,
} from './index.js';

const WISH: DesiredModel = {
  model: modelId('large'),
  version: '2',
  service: serviceId('models'),
  targets: 2,
};
const TIMING: PlacementTiming = {
  epoch: 7,
  leaderSinceMs: 0,
  previousLeaseMs: 1_000,
  orderInFlightMs: 5_000,
  loadIntervalMs: 2_000,
  maxConcurrentLoads: 2,
  loadTimeoutMs: 60_000,
};

function target(
  name: string,
  change: Partial<PlaceableTarget> = {},
): PlaceableTarget {
  return {
    target: targetId(name),
    incarnation: 'i',
    service: serviceId('models'),
    isUsable: true,
    running: 0,
    models: [],
    lastSeenAtMs: 0,
    validatesOrders: true,
    ...change,
  };
}

const LOADED = {models: [{model: 'large', version: '2'}]};

test('as many targets as wished are told to load, least loaded first, one after the other', () => {
  const table = createPlacementTable();
  const targets = [
    target('a', {running: 3}),
    target('b'),
    target('c', {running: 1}),
  ];
  const order = (nowMs: number) =>
    nextLoadOrder(table, [WISH], targets, TIMING, nowMs)?.target;
  expect(order(0)).toEqual(targetId('b'));
  expect(order(1_000)).toEqual(undefined);
  expect(order(2_000)).toEqual(targetId('c'));
  expect(order(10_000)).toEqual(undefined);
});

test('what is loaded counts, and what did not end in time is ordered again', () => {
  const table = createPlacementTable();
  expect(
    nextLoadOrder(table, [WISH], [target('a'), target('b', LOADED)], TIMING, 0)
      ?.target,
  ).toEqual(targetId('a'));
  expect(
    nextLoadOrder(
      table,
      [WISH],
      [target('a', LOADED), target('b', LOADED)],
      TIMING,
      9_000,
    ),
  ).toEqual(undefined);
  const slow = createPlacementTable();
  const one = [target('a')];
  nextLoadOrder(slow, [WISH], one, TIMING, 0);
  expect(nextLoadOrder(slow, [WISH], one, TIMING, 59_000)).toEqual(undefined);
  expect(nextLoadOrder(slow, [WISH], one, TIMING, 61_000)?.target).toEqual(
    targetId('a'),
  );
});

test('a target that checks no epochs waits out earlier leaders and is read anew', () => {
  const table = createPlacementTable();
  const blind = (heardAtMs: number) => [
    target('a', {validatesOrders: false, lastSeenAtMs: heardAtMs}),
  ];
  expect(nextLoadOrder(table, [WISH], blind(5_900), TIMING, 5_999)).toEqual(
    undefined,
  );
  expect(nextLoadOrder(table, [WISH], blind(5_900), TIMING, 6_500)).toEqual(
    undefined,
  );
  expect(
    nextLoadOrder(table, [WISH], blind(6_100), TIMING, 6_500)?.epoch,
  ).toEqual(7);
});

test('a refused order is taken back', () => {
  const table = createPlacementTable();
  const order = nextLoadOrder(table, [WISH], [target('a')], TIMING, 0)!;
  withdrawLoadOrder(table, order);
  expect(
    nextLoadOrder(table, [WISH], [target('a')], TIMING, 3_000)?.target,
  ).toEqual(targetId('a'));
});

test('a target that is gone, leaving or of another service gets none', () => {
  const table = createPlacementTable();
  const others = [
    target('a', {isUsable: false}),
    target('b', {service: serviceId('other')}),
  ];
  expect(nextLoadOrder(table, [WISH], others, TIMING, 0)).toEqual(undefined);
});

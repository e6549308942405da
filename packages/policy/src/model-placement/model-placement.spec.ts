/** Tests the number and the rate of model loads, and the wait of a new leader. */
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

const DESIRED: DesiredModel = {
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

test('the desired number of targets get an order, the least loaded first, one at a time', () => {
  const table = createPlacementTable();
  const targets = [
    target('a', {running: 3}),
    target('b'),
    target('c', {running: 1}),
  ];
  const nextTarget = (nowMs: number) =>
    nextLoadOrder(table, [DESIRED], targets, TIMING, nowMs)?.target;
  expect(nextTarget(0)).toEqual(targetId('b'));
  expect(nextTarget(1_000)).toEqual(undefined);
  expect(nextTarget(2_000)).toEqual(targetId('c'));
  expect(nextTarget(10_000)).toEqual(undefined);
});

test('loaded models count, and a load that timed out is ordered again', () => {
  const table = createPlacementTable();
  expect(
    nextLoadOrder(
      table,
      [DESIRED],
      [target('a'), target('b', LOADED)],
      TIMING,
      0,
    )?.target,
  ).toEqual(targetId('a'));
  expect(
    nextLoadOrder(
      table,
      [DESIRED],
      [target('a', LOADED), target('b', LOADED)],
      TIMING,
      9_000,
    ),
  ).toEqual(undefined);
  const slowTable = createPlacementTable();
  const oneTarget = [target('a')];
  nextLoadOrder(slowTable, [DESIRED], oneTarget, TIMING, 0);
  expect(
    nextLoadOrder(slowTable, [DESIRED], oneTarget, TIMING, 59_000),
  ).toEqual(undefined);
  expect(
    nextLoadOrder(slowTable, [DESIRED], oneTarget, TIMING, 61_000)?.target,
  ).toEqual(targetId('a'));
});

test('a target that ignores epochs gets no order until earlier orders arrived and it was seen again', () => {
  const table = createPlacementTable();
  const withoutValidation = (lastSeenAtMs: number) => [
    target('a', {validatesOrders: false, lastSeenAtMs}),
  ];
  expect(
    nextLoadOrder(table, [DESIRED], withoutValidation(5_900), TIMING, 5_999),
  ).toEqual(undefined);
  expect(
    nextLoadOrder(table, [DESIRED], withoutValidation(5_900), TIMING, 6_500),
  ).toEqual(undefined);
  expect(
    nextLoadOrder(table, [DESIRED], withoutValidation(6_100), TIMING, 6_500)
      ?.epoch,
  ).toEqual(7);
});

test('a refused order is withdrawn and issued again', () => {
  const table = createPlacementTable();
  const loadOrder = nextLoadOrder(table, [DESIRED], [target('a')], TIMING, 0)!;
  withdrawLoadOrder(table, loadOrder);
  expect(
    nextLoadOrder(table, [DESIRED], [target('a')], TIMING, 3_000)?.target,
  ).toEqual(targetId('a'));
});

test('a target that is unusable or of another service gets no order', () => {
  const table = createPlacementTable();
  const others = [
    target('a', {isUsable: false}),
    target('b', {service: serviceId('other')}),
  ];
  expect(nextLoadOrder(table, [DESIRED], others, TIMING, 0)).toEqual(undefined);
});

test('an order for the same model of another service does not count', () => {
  const table = createPlacementTable();
  const service = serviceId('other');
  const targets = [target('a'), target('b', {service})];
  const desired = [
    {...DESIRED, targets: 1},
    {...DESIRED, targets: 1, service},
  ];
  const nextTarget = (nowMs: number) =>
    nextLoadOrder(table, desired, targets, TIMING, nowMs)?.target;
  expect(nextTarget(0)).toEqual(targetId('a'));
  expect(nextTarget(2_000)).toEqual(targetId('b'));
});

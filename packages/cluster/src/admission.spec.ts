/** Admission control at the leader, at its successor, and without one. */
import {expect} from 'earl';
import {test, type TestContext} from 'node:test';
import {instanceId, requestId, targetId, zoneId} from '@samphirefield/core';
import type {Demand} from '@samphirefield/gateway';
import {
  createAnnouncement,
  SERVICE,
  TestCluster,
  until,
} from './testing/cluster.js';

function demand(name: string, overrides: Partial<Demand> = {}): Demand {
  return {
    request: requestId(name),
    service: SERVICE,
    entry: instanceId('e1'),
    zone: zoneId('z0'),
    otherZonePenalty: 0.1,
    kvTokens: 4_000,
    prefillTokens: 0,
    isRunning: false,
    priority: 1,
    workspace: undefined,
    inTimeMs: 10_000,
    patienceMs: 1e9,
    noTargetWaitMs: 10_000,
    maxWaitMs: 20_000,
    excluded: [],
    ...overrides,
  };
}

async function setUp(t: TestContext) {
  const cluster = await TestCluster.create(3);
  t.after(() => cluster.close());
  cluster.usesAdmission = true;
  for (const i of [0, 1, 2]) await cluster.start(i, true);
  await until('a leader', () => cluster.leaderIndex() !== undefined);
  const entry = cluster.startEntry();
  await cluster.putConfig(0, 1);
  for (const node of cluster.controls.values())
    node.announce(createAnnouncement());
  await until('the entry has configuration, target and leader', () => {
    const hasTarget = entry.findTarget(targetId('i-1')) !== undefined;
    const hasConfig = entry.activeConfig() !== undefined;
    return hasTarget && hasConfig && entry.metrics()['has_leader'] === 1;
  });
  return {cluster, entry};
}

test('a demand that waits at a lost leader is served by the next one', async t => {
  const {cluster, entry} = await setUp(t);
  // Each run takes 4,000 of 10,000 KV tokens.
  for (const name of ['r1', 'r2']) await entry.reserve(demand(name));
  const waiting = entry.reserve(demand('r3'));
  const waitsAt = (i: number) =>
    cluster.controls.get(i)?.metrics()['places_waiting'] === 1;
  // On a busy machine the leader may change before.
  let lost = -1;
  await until('it waits at a leader', () => {
    lost = [0, 1, 2].find(waitsAt) ?? -1;
    return lost >= 0;
  });
  const byPriority = cluster.controls.get(lost)!.metricsByPriority();
  expect(byPriority['places_waiting_by_priority']!.get(1)).toEqual(1);
  await cluster.stop(lost);
  await until('it waits at the next leader', () => {
    const next = cluster.leaderIndex();
    return next !== undefined && next !== lost && waitsAt(next);
  });
  entry.release(requestId('r1'), SERVICE, 'served');
  expect((await waiting).kind).toEqual('granted');
});

test('an entry without a leader decides on its share of an engine', async t => {
  const {cluster, entry} = await setUp(t);
  for (const i of [0, 1, 2]) await cluster.stop(i);
  await until('no leader', () => entry.metrics()['has_leader'] === 0);
  const large = {kvTokens: 9_000, maxWaitMs: 200};
  expect((await entry.reserve(demand('r1', large))).kind).toEqual('granted');
  expect((await entry.reserve(demand('r2', large))).kind).toEqual('refused');
});

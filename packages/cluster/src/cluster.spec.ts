/** The group of control daemons and its entries, through losses. */
import {expect} from 'earl';
import {test, type TestContext} from 'node:test';
import {
  instanceId,
  requestId,
  targetId,
  zoneId,
  type ZoneId,
} from '@samphirefield/core';
import type {Demand} from '@samphirefield/gateway';
import type {EntryNode} from './entry/index.js';
import {
  createAnnouncement,
  SERVICE,
  TestCluster,
  until,
} from './testing/cluster.js';

async function setUp(
  t: TestContext,
  size = 3,
  voters = 3,
): Promise<TestCluster> {
  const cluster = await TestCluster.create(size, voters);
  t.after(() => cluster.close());
  return cluster;
}

async function startAll(cluster: TestCluster, order = [0, 1, 2]) {
  for (const i of order) await cluster.start(i, true);
  await until('a leader', () => cluster.leader() !== undefined);
}

const zone = (name: string): ZoneId => zoneId(name);
const demand = (name: string): Demand => ({
  request: requestId(name),
  service: SERVICE,
  entry: instanceId('e1'),
  zone: zone('z0'),
  otherZonePenalty: 0.1,
  kvTokens: 4_000,
  prefillTokens: 0,
  priority: 0,
  patienceMs: 5_000,
  noTargetWaitMs: 5_000,
  maxWaitMs: 5_000,
  excluded: [],
});

test('forms one group from its seeds in any order', async t => {
  const cluster = await setUp(t);
  await startAll(cluster, [2, 0, 1]);
  await cluster.putConfig(0, 5);
  for (const i of [0, 1, 2]) {
    await until(`daemon ${i} reads`, async () => {
      return (await cluster.readVersion(i)) === 5;
    });
  }
  const leaders = [...cluster.controls.values()].filter(n => n.isLeader);
  expect(leaders.length).toEqual(1);
});

test('holds the highest version, and acknowledges lower ones', async t => {
  const cluster = await setUp(t);
  await startAll(cluster);
  await cluster.putConfig(0, 9);
  await cluster.putConfig(1, 4);
  await until('9 is read', async () => (await cluster.readVersion(2)) === 9);
});

test('never shows an older version after its leader stopped', async t => {
  const cluster = await setUp(t);
  await startAll(cluster);
  await cluster.putConfig(0, 1);
  const leader = cluster.leader()!;
  await cluster.stop(leader);
  const [i] = [...cluster.controls.keys()];
  await cluster.putConfig(i!, 2);
  await cluster.start(leader, false);
  await until('the old leader reads 2', async () => {
    const version = await cluster.readVersion(leader);
    expect(version === undefined || version === 2).toEqual(true);
    return version === 2;
  });
});

test('accepts and reads nothing without a quorum', async t => {
  const cluster = await setUp(t);
  await startAll(cluster);
  await cluster.putConfig(0, 1);
  const kept = cluster.leader()!;
  for (const i of [0, 1, 2]) if (i !== kept) await cluster.stop(i);
  const node = cluster.controls.get(kept)!;
  expect(await node.readNewest()).toEqual(undefined);
  const change = {kind: 'put_config', version: 2, document: '2'} as const;
  expect(await node.change(change)).toEqual('unavailable');
});

test('keeps what it accepted through a stop of all', async t => {
  const cluster = await setUp(t);
  await startAll(cluster);
  await cluster.putConfig(0, 7);
  await cluster.controls.get(0)!.change({
    kind: 'set_zone',
    zone: zone('z1'),
    isOut: true,
  });
  for (const i of [0, 1, 2]) await cluster.stop(i);
  for (const i of [0, 1, 2]) await cluster.start(i, false);
  await until('7 is read', async () => (await cluster.readVersion(1)) === 7);
  const state = await cluster.controls.get(1)!.readNewest();
  expect(state?.zonesOut).toEqual([zone('z1')]);
});

test('takes a wiped disk in again, and may then lose another', async t => {
  const cluster = await setUp(t);
  await startAll(cluster);
  await cluster.putConfig(0, 3);
  const wiped = (cluster.leader()! + 1) % 3;
  await cluster.stop(wiped);
  cluster.wipeDisk(wiped);
  await cluster.start(wiped, false);
  await until('the wiped daemon is a voter again', () => {
    const metrics = cluster.controls.get(wiped)!.metrics();
    return metrics['is_voter'] === 1 && metrics['members'] === 3;
  });
  const other = [0, 1, 2].find(i => i !== wiped && i !== cluster.leader())!;
  await cluster.stop(other);
  await cluster.putConfig(wiped, 4);
  expect(await cluster.readVersion(wiped)).toEqual(4);
});

test('lets a lost disk go also where more voters are wanted', async t => {
  const cluster = await setUp(t, 5, 7);
  for (const i of [0, 1, 2, 3, 4]) await cluster.start(i, true);
  await until('five voters', () =>
    [...cluster.controls.values()].every(
      node => node.metrics()['voters'] === 5,
    ),
  );
  await cluster.putConfig(0, 1);
  const wiped = (cluster.leader()! + 1) % 5;
  await cluster.stop(wiped);
  cluster.wipeDisk(wiped);
  await cluster.start(wiped, false);
  await until('it is back, and its lost replica is gone', () => {
    const metrics = cluster.controls.get(wiped)!.metrics();
    return metrics['is_voter'] === 1 && metrics['members'] === 5;
  });
  expect(cluster.controls.get(wiped)!.metrics()['voters']).toEqual(5);
});

test('an empty disk alone forms no group', async t => {
  const cluster = await setUp(t);
  await cluster.start(0, false);
  const node = cluster.controls.get(0)!;
  await new Promise(resolve => setTimeout(resolve, 900));
  expect(node.isLeader).toEqual(false);
  expect(await node.readNewest()).toEqual(undefined);
});

test('a daemon at another address replaces one that is gone', async t => {
  const cluster = await setUp(t, 4);
  await startAll(cluster);
  await cluster.putConfig(0, 3);
  const gone = (cluster.leader()! + 1) % 3;
  await cluster.stop(gone);
  await cluster.start(3, false);
  await until('the new daemon is a voter', () =>
    [...cluster.controls.values()].some(
      node =>
        node.isLeader &&
        node.metrics()['voters'] === 3 &&
        node.metrics()['members'] === 3,
    ),
  );
  await cluster.putConfig(3, 4);
  expect(await cluster.readVersion(3)).toEqual(4);
});

test('entries follow configuration, zones and targets', async t => {
  const cluster = await setUp(t);
  await startAll(cluster);
  const entry = cluster.startEntry();
  await cluster.putConfig(0, 6);
  await until('the entry has 6', () => {
    return entry.activeConfig()?.view.table.version === 6;
  });
  cluster.controls.get(1)!.announce(createAnnouncement());
  await until('the entry knows the target', () => {
    return entry.findTarget(targetId('i-1')) !== undefined;
  });
  let hasLeft = false;
  entry.onDraining(targetId('i-1'), () => (hasLeft = true));
  cluster.controls
    .get(2)!
    .announce(createAnnouncement({sequence: 2, state: 'draining'}));
  await until('the entry hears that it leaves', () => hasLeft);
  await cluster.controls.get(0)!.change({
    kind: 'set_zone',
    zone: zone('z0'),
    isOut: true,
  });
  await until('the zone is out at the entry', () => {
    return entry.activeConfig()!.view.zonesOut.has(zone('z0'));
  });
});

test('places on engines are counted over all entries', async t => {
  const cluster = await setUp(t);
  await startAll(cluster);
  const entries = [cluster.startEntry('e1'), cluster.startEntry('e2')];
  await cluster.putConfig(0, 1);
  for (const node of cluster.controls.values())
    node.announce(createAnnouncement());
  await until('both entries know all', () =>
    entries.every(
      entry =>
        entry.activeConfig() !== undefined &&
        entry.findTarget(targetId('i-1')) !== undefined &&
        entry.metrics()['has_leader'] === 1,
    ),
  );
  const [first, second] = entries;
  expect((await first!.reserve(demand('r1'))).kind).toEqual('granted');
  expect((await second!.reserve(demand('r2'))).kind).toEqual('granted');
  // 4,000 tokens each: a third does not fit before one has ended.
  const third = second!.reserve(demand('r3'));
  const early = await Promise.race([
    third.then(() => 'granted'),
    new Promise(resolve => setTimeout(() => resolve('waits'), 200)),
  ]);
  expect(early).toEqual('waits');
  first!.release(requestId('r1'), SERVICE, 'served');
  expect((await third).kind).toEqual('granted');
});

test('entries without a leader keep to their parts of an engine', async t => {
  const cluster = await setUp(t);
  await startAll(cluster);
  const entries = [cluster.startEntry('e1'), cluster.startEntry('e2')];
  await cluster.putConfig(0, 1);
  for (const node of cluster.controls.values())
    node.announce(createAnnouncement());
  await until('both entries know all, and each other', () =>
    entries.every(
      entry =>
        entry.activeConfig() !== undefined &&
        entry.findTarget(targetId('i-1')) !== undefined &&
        entry.entryCount === 2,
    ),
  );
  for (const i of [0, 1, 2]) await cluster.stop(i);
  await until('both are without a leader', () =>
    entries.every(entry => entry.metrics()['has_leader'] === 0),
  );
  const kinds: string[] = [];
  for (const [i, entry] of entries.entries()) {
    for (const name of ['a', 'b']) {
      const asked = {...demand(`${name}${i}`), maxWaitMs: 200};
      kinds.push((await entry.reserve(asked)).kind);
    }
  }
  // 4,000 tokens each: one fits into half of 10,000, two do not.
  expect(kinds).toEqual(['granted', 'refused', 'granted', 'refused']);
});

test('a target that falls silent gets nothing until it is heard', async t => {
  const cluster = await setUp(t);
  await startAll(cluster);
  const entry = cluster.startEntry();
  await cluster.putConfig(0, 1);
  for (const node of cluster.controls.values())
    node.announce(createAnnouncement());
  await until('the entry knows the target', () => {
    return entry.findTarget(targetId('i-1')) !== undefined;
  });
  await until('it is silent', async () => {
    const asked = demand(`r${Math.random()}`);
    const answer = await entry.reserve({...asked, kvTokens: 1, maxWaitMs: 0});
    entry.release(asked.request, SERVICE, 'served');
    return answer.kind === 'refused';
  });
  cluster.controls.get(0)!.announce(createAnnouncement({sequence: 2}));
  await until('it is heard', async () => {
    const asked = demand(`r${Math.random()}`);
    const answer = await entry.reserve({...asked, kvTokens: 1, maxWaitMs: 0});
    return answer.kind === 'granted';
  });
});

test('grows from its seeds to the voters that the losses need', async t => {
  const cluster = await setUp(t, 5, 5);
  for (const i of [4, 1, 0, 3, 2]) await cluster.start(i, true);
  await until('five voters', () =>
    [...cluster.controls.values()].every(
      node => node.metrics()['voters'] === 5,
    ),
  );
  await cluster.putConfig(0, 1);
  const leader = cluster.leader()!;
  const others = [0, 1, 2, 3, 4].filter(i => i !== leader);
  await cluster.stop(leader);
  await cluster.stop(others[0]!);
  await cluster.putConfig(others[1]!, 2);
  expect(await cluster.readVersion(others[1]!)).toEqual(2);
});

test('frees what an entry held when it starts again at once', async t => {
  const cluster = await setUp(t);
  await startAll(cluster);
  const first = cluster.startEntry('e1');
  await cluster.putConfig(0, 1);
  for (const node of cluster.controls.values())
    node.announce(createAnnouncement());
  const isReady = (entry: EntryNode) =>
    entry.activeConfig() !== undefined &&
    entry.findTarget(targetId('i-1')) !== undefined &&
    entry.metrics()['has_leader'] === 1;
  await until('the entry knows all', () => isReady(first));
  expect((await first.reserve(demand('r1'))).kind).toEqual('granted');
  expect((await first.reserve(demand('r2'))).kind).toEqual('granted');
  first.stop();
  const second = cluster.startEntry('e1');
  await until('it knows all again', () => isReady(second));
  const impatient = (name: string) => ({...demand(name), maxWaitMs: 400});
  expect((await second.reserve(impatient('r3'))).kind).toEqual('granted');
  expect((await second.reserve(impatient('r4'))).kind).toEqual('granted');
});

test('acknowledges no heartbeat that the others cannot learn of', async t => {
  const cluster = await setUp(t);
  await startAll(cluster);
  const node = cluster.controls.get(0)!;
  await until('it hears the others', () => node.announce(createAnnouncement()));
  await cluster.stop(1);
  expect(node.announce(createAnnouncement())).toEqual(true);
  await cluster.stop(2);
  await until('it is alone', () => !node.announce(createAnnouncement()));
  expect(node.deregister(targetId('i-1'))).toEqual(false);
});

test('a daemon beside the voters acknowledges while it hears them', async t => {
  const cluster = await setUp(t, 4, 3);
  for (const i of [0, 1, 2, 3]) await cluster.start(i, true);
  const node = cluster.controls.get(3)!;
  await until('it hears the voters', () => node.announce(createAnnouncement()));
  await cluster.stop(0);
  await cluster.stop(1);
  await until(
    'it hears one of three',
    () => !node.announce(createAnnouncement()),
  );
});

/**
 * Tests the control group and its entries through losses of daemons, disks and
 * targets.
 */
import {expect} from 'earl';
import {test, type TestContext} from 'node:test';
import {
  instanceId,
  requestId,
  targetId,
  zoneId,
  type TargetId,
  type ZoneId,
} from '@samphirefield/core';
import type {Demand} from '@samphirefield/gateway';
import type {EntryNode} from './entry/index.js';
import {
  createAnnouncement,
  resetLinks,
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
  await until('a leader', () => cluster.leaderIndex() !== undefined);
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
  isRunning: false,
  priority: 0,
  workspace: undefined,
  inTimeMs: 5_000,
  patienceMs: 5_000,
  noTargetWaitMs: 5_000,
  maxWaitMs: 5_000,
  excluded: [],
});

test('forms one group from its seeds in any start order', async t => {
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

test('keeps the highest version, and acknowledges lower ones', async t => {
  const cluster = await setUp(t);
  await startAll(cluster);
  await cluster.putConfig(0, 9);
  await cluster.putConfig(1, 4);
  await until('9 is read', async () => (await cluster.readVersion(2)) === 9);
});

test('never returns an older version after its leader stopped', async t => {
  const cluster = await setUp(t);
  await startAll(cluster);
  await cluster.putConfig(0, 1);
  const leader = cluster.leaderIndex()!;
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

test('accepts no change and returns no state without a quorum', async t => {
  const cluster = await setUp(t);
  await startAll(cluster);
  await cluster.putConfig(0, 1);
  const remaining = cluster.leaderIndex()!;
  for (const i of [0, 1, 2]) if (i !== remaining) await cluster.stop(i);
  const node = cluster.controls.get(remaining)!;
  expect(await node.readNewest()).toEqual(undefined);
  const change = {kind: 'put_config', version: 2, document: '2'} as const;
  expect(await node.change(change)).toEqual('unavailable');
});

test('keeps accepted changes when all daemons stop', async t => {
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

test('a daemon with a wiped disk rejoins, and another may then be lost', async t => {
  const cluster = await setUp(t);
  await startAll(cluster);
  await cluster.putConfig(0, 3);
  const wiped = (cluster.leaderIndex()! + 1) % 3;
  await cluster.stop(wiped);
  cluster.wipeDisk(wiped);
  await cluster.start(wiped, false);
  await until('the wiped daemon is a voter again', () => {
    const metrics = cluster.controls.get(wiped)!.metrics();
    return metrics['is_voter'] === 1 && metrics['members'] === 3;
  });
  const other = [0, 1, 2].find(
    i => i !== wiped && i !== cluster.leaderIndex(),
  )!;
  await cluster.stop(other);
  await cluster.putConfig(wiped, 4);
  expect(await cluster.readVersion(wiped)).toEqual(4);
});

test('removes the replica of a wiped disk even with fewer voters than configured', async t => {
  const cluster = await setUp(t, 5, 7);
  for (const i of [0, 1, 2, 3, 4]) await cluster.start(i, true);
  await until('five voters', () =>
    [...cluster.controls.values()].every(
      node => node.metrics()['voters'] === 5,
    ),
  );
  await cluster.putConfig(0, 1);
  const wiped = (cluster.leaderIndex()! + 1) % 5;
  await cluster.stop(wiped);
  cluster.wipeDisk(wiped);
  await cluster.start(wiped, false);
  await until(
    'the daemon is a voter again, and its lost replica is removed',
    () => {
      const metrics = cluster.controls.get(wiped)!.metrics();
      return metrics['is_voter'] === 1 && metrics['members'] === 5;
    },
  );
  expect(cluster.controls.get(wiped)!.metrics()['voters']).toEqual(5);
});

test('a daemon with an empty disk forms no group alone', async t => {
  const cluster = await setUp(t);
  await cluster.start(0, false);
  const node = cluster.controls.get(0)!;
  await new Promise(resolve => setTimeout(resolve, 900));
  expect(node.isLeader).toEqual(false);
  expect(await node.readNewest()).toEqual(undefined);
});

test('a daemon at another address replaces one that stopped', async t => {
  const cluster = await setUp(t, 4);
  await startAll(cluster);
  await cluster.putConfig(0, 3);
  const stopped = (cluster.leaderIndex()! + 1) % 3;
  await cluster.stop(stopped);
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

test('entries receive configuration, zone and target changes', async t => {
  const cluster = await setUp(t);
  await startAll(cluster);
  const entry = cluster.startEntry();
  await cluster.putConfig(0, 6);
  await until('the entry has 6', () => {
    return entry.activeConfig()?.view.table.version === 6;
  });
  cluster.controls.get(1)!.announce(createAnnouncement());
  await until('the entry has the target', () => {
    return entry.findTarget(targetId('i-1')) !== undefined;
  });
  let isDraining = false;
  entry.onDraining(targetId('i-1'), () => (isDraining = true));
  cluster.controls
    .get(2)!
    .announce(createAnnouncement({sequence: 2, state: 'draining'}));
  await until(
    'the entry receives that the target is draining',
    () => isDraining,
  );
  await cluster.controls.get(0)!.change({
    kind: 'set_zone',
    zone: zone('z0'),
    isOut: true,
  });
  await until('the zone is out at the entry', () => {
    return entry.activeConfig()!.view.zonesOut.has(zone('z0'));
  });
});

test('reservations on engines are counted over all entries', async t => {
  const cluster = await setUp(t);
  await startAll(cluster);
  const entries = [cluster.startEntry('e1'), cluster.startEntry('e2')];
  await cluster.putConfig(0, 1);
  for (const node of cluster.controls.values())
    node.announce(createAnnouncement());
  await until('both entries have configuration, target and leader', () =>
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
  // Each run takes 4,000 of 10,000 KV tokens: a third must wait for an end.
  const third = second!.reserve(demand('r3'));
  const early = await Promise.race([
    third.then(() => 'granted'),
    new Promise(resolve => setTimeout(() => resolve('waits'), 200)),
  ]);
  expect(early).toEqual('waits');
  first!.release(requestId('r1'), SERVICE, 'served');
  expect((await third).kind).toEqual('granted');
});

test('a crashed target gets runs after its successor announced the address', async t => {
  const cluster = await setUp(t);
  await startAll(cluster);
  const entry = cluster.startEntry();
  await cluster.putConfig(0, 1);
  const crashed = createAnnouncement();
  const successor = createAnnouncement({id: targetId('i-2'), bornMs: 2});
  const targetOf = async (name: string) => {
    const run = {...demand(name), kvTokens: 1};
    const result = await entry.reserve(run);
    entry.release(run.request, SERVICE, 'served');
    return result.kind === 'granted' ? result.target : undefined;
  };
  const isKnown = (id: TargetId) => entry.findTarget(id) !== undefined;
  cluster.controls.get(0)!.announce(crashed);
  await until('the target is known', () => isKnown(crashed.id));
  cluster.controls.get(0)!.announce(successor);
  await until('its successor is known', () => isKnown(successor.id));
  for (let i = 0; i < 20; i += 1) {
    expect(await targetOf(`with a leader ${i}`)).toEqual(successor.id);
  }
  for (const i of [0, 1, 2]) await cluster.stop(i);
  await until('no leader', () => entry.metrics()['has_leader'] === 0);
  for (let i = 0; i < 20; i += 1) {
    expect(await targetOf(`without ${i}`)).toEqual(successor.id);
  }
});

test('entries without a leader stay within their shares of an engine', async t => {
  const cluster = await setUp(t);
  await startAll(cluster);
  const entries = [cluster.startEntry('e1'), cluster.startEntry('e2')];
  await cluster.putConfig(0, 1);
  for (const node of cluster.controls.values())
    node.announce(createAnnouncement());
  await until('both entries have configuration, target and entry count', () =>
    entries.every(
      entry =>
        entry.activeConfig() !== undefined &&
        entry.findTarget(targetId('i-1')) !== undefined &&
        entry.entryCount === 2,
    ),
  );
  for (const i of [0, 1, 2]) await cluster.stop(i);
  await until('both entries are without a leader', () =>
    entries.every(entry => entry.metrics()['has_leader'] === 0),
  );
  const kinds: string[] = [];
  for (const [i, entry] of entries.entries()) {
    for (const name of ['a', 'b']) {
      const shortDemand = {...demand(`${name}${i}`), maxWaitMs: 200};
      kinds.push((await entry.reserve(shortDemand)).kind);
    }
  }
  // Each share is half of 10,000 KV tokens: one run of 4,000 fits, two do not.
  expect(kinds).toEqual(['granted', 'refused', 'granted', 'refused']);
});

test('a silent target gets no run until it announces itself again', async t => {
  const cluster = await setUp(t);
  await startAll(cluster);
  const entry = cluster.startEntry();
  await cluster.putConfig(0, 1);
  for (const node of cluster.controls.values())
    node.announce(createAnnouncement());
  await until('the entry has the target', () => {
    return entry.findTarget(targetId('i-1')) !== undefined;
  });
  await until('the target is silent', async () => {
    const probe = demand(`r${Math.random()}`);
    const result = await entry.reserve({...probe, kvTokens: 1, maxWaitMs: 0});
    entry.release(probe.request, SERVICE, 'served');
    return result.kind === 'refused';
  });
  cluster.controls.get(0)!.announce(createAnnouncement({sequence: 2}));
  await until('the target is announced again', async () => {
    const probe = demand(`r${Math.random()}`);
    const result = await entry.reserve({...probe, kvTokens: 1, maxWaitMs: 0});
    return result.kind === 'granted';
  });
});

test('grows from its seeds to five voters, and survives the loss of two', async t => {
  const cluster = await setUp(t, 5, 5);
  for (const i of [4, 1, 0, 3, 2]) await cluster.start(i, true);
  await until('five voters', () =>
    [...cluster.controls.values()].every(
      node => node.metrics()['voters'] === 5,
    ),
  );
  await cluster.putConfig(0, 1);
  const leader = cluster.leaderIndex()!;
  const others = [0, 1, 2, 3, 4].filter(i => i !== leader);
  await cluster.stop(leader);
  await cluster.stop(others[0]!);
  await cluster.putConfig(others[1]!, 2);
  expect(await cluster.readVersion(others[1]!)).toEqual(2);
});

test('releases the reservations of an entry that restarts at once', async t => {
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
  await until('the entry has configuration, target and leader', () =>
    isReady(first),
  );
  expect((await first.reserve(demand('r1'))).kind).toEqual('granted');
  expect((await first.reserve(demand('r2'))).kind).toEqual('granted');
  first.stop();
  const second = cluster.startEntry('e1');
  await until('the restarted entry has configuration, target and leader', () =>
    isReady(second),
  );
  const shortWaitDemand = (name: string) => ({...demand(name), maxWaitMs: 400});
  expect((await second.reserve(shortWaitDemand('r3'))).kind).toEqual('granted');
  expect((await second.reserve(shortWaitDemand('r4'))).kind).toEqual('granted');
});

test('acknowledges no announcement that the other daemons cannot receive', async t => {
  const cluster = await setUp(t);
  await startAll(cluster);
  const node = cluster.controls.get(0)!;
  await until('the daemon is in contact with the others', () =>
    node.announce(createAnnouncement()),
  );
  await cluster.stop(1);
  expect(node.announce(createAnnouncement())).toEqual(true);
  await cluster.stop(2);
  await until(
    'the daemon is isolated',
    () => !node.announce(createAnnouncement()),
  );
  expect(node.deregister(targetId('i-1'))).toEqual(false);
});

test('a daemon that is no voter acknowledges while it is in contact with a majority', async t => {
  const cluster = await setUp(t, 4, 3);
  for (const i of [0, 1, 2, 3]) await cluster.start(i, true);
  const node = cluster.controls.get(3)!;
  await until('the daemon is in contact with the voters', () =>
    node.announce(createAnnouncement()),
  );
  await cluster.stop(0);
  await cluster.stop(1);
  await until(
    'the daemon is in contact with one of three voters only',
    () => !node.announce(createAnnouncement()),
  );
});

/** Starts three control daemons, entries, and one engine with four slots. */
async function setUpEngine(t: TestContext, names: readonly string[]) {
  const cluster = await setUp(t);
  await startAll(cluster);
  const entries = names.map(name => cluster.startEntry(name));
  await cluster.putConfig(0, 1);
  for (const node of cluster.controls.values())
    node.announce(createAnnouncement());
  await until('the entries have configuration, target and leader', () =>
    entries.every(
      entry =>
        entry.activeConfig() !== undefined &&
        entry.findTarget(targetId('i-1')) !== undefined &&
        entry.metrics()['has_leader'] === 1,
    ),
  );
  return {cluster, entries};
}

test('an entry links to a few of many control daemons, and to the leader', async t => {
  const cluster = await setUp(t, 7, 7);
  for (const i of [0, 1, 2, 3, 4, 5, 6]) await cluster.start(i, true);
  await until('seven voters', () =>
    [...cluster.controls.values()].every(
      node => node.metrics()['voters'] === 7,
    ),
  );
  const entry = cluster.startEntry();
  await until('the entry has the leader and its informants', () => {
    const {has_leader: leaders, controls_up: links} = entry.metrics();
    return leaders === 1 && (links === 3 || links === 4);
  });
  await cluster.stop(cluster.leaderIndex()!);
  await until('the entry has the next leader', () => {
    const {has_leader: leaders, controls_up: links} = entry.metrics();
    return (
      leaders === 1 &&
      (links === 3 || links === 4) &&
      cluster.leaderIndex() !== undefined
    );
  });
  const i = cluster.leaderIndex()!;
  await cluster.putConfig(i, 9);
  await until('the entry has version 9', () => {
    return entry.activeConfig()?.view.table.version === 9;
  });
});

test('a leader learns of runs that ended while its connection was broken', async t => {
  const {cluster, entries} = await setUpEngine(t, ['e1', 'e2']);
  const [first, second] = entries;
  for (const name of ['r1', 'r2']) {
    expect((await first!.reserve(demand(name))).kind).toEqual('granted');
  }
  const leader = cluster.controls.get(cluster.leaderIndex()!)!;
  resetLinks(first!);
  for (const name of ['r1', 'r2'])
    first!.release(requestId(name), SERVICE, 'served');
  await until('the leader holds no run', () => {
    return leader.metrics()['places_held'] === 0;
  });
  expect((await second!.reserve(demand('r3'))).kind).toEqual('granted');
});

test('runs granted without a leader are known to the next leader', async t => {
  const {cluster, entries} = await setUpEngine(t, ['e1']);
  const [entry] = entries;
  const [stopped] = [0, 1, 2].filter(i => i !== cluster.leaderIndex());
  await cluster.stop(stopped!);
  await cluster.stop(cluster.leaderIndex()!);
  await until('the entry has no leader', () => {
    return entry!.metrics()['has_leader'] === 0;
  });
  expect((await entry!.reserve(demand('r1'))).kind).toEqual('granted');
  await cluster.start(stopped!, false);
  await until('the next leader holds the run', () =>
    [...cluster.controls.values()].some(
      node => node.isLeader && node.metrics()['places_held'] === 1,
    ),
  );
});

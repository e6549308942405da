/**
 * Tests that the control group keeps its majority while its daemons are
 * replaced one after the other.
 */
import {expect} from 'earl';
import {test, type TestContext} from 'node:test';
import {silentLogger, zoneId, type ZoneId} from '@samphirefield/core';
import {replicaId, type MembershipChange} from '@samphirefield/replication';
import {MembershipKeeper, toReplica} from './control/membership-keeper.js';
import {TestCluster, until} from './testing/cluster.js';

const NEVER_MS = 3_600_000;

async function setUp(t: TestContext, size: number): Promise<TestCluster> {
  const cluster = await TestCluster.create(size);
  t.after(() => cluster.close());
  // Only what a daemon does when it stops as planned can replace it.
  cluster.replaceAfterMs = NEVER_MS;
  return cluster;
}

const voterIndexes = (cluster: TestCluster): number[] =>
  [...cluster.controls]
    .filter(([, node]) => node.metrics()['is_voter'] === 1)
    .map(([i]) => i);

/** Starts daemon `i` and waits until it could take over a vote. */
async function startSuccessor(cluster: TestCluster, i: number): Promise<void> {
  await cluster.start(i, false);
  await until(`daemon ${i} asks to join`, () => {
    const leader = cluster.controls.get(cluster.leaderIndex() ?? -1);
    const candidates = leader?.['group']?.membership['candidates'].values();
    const {port} = cluster.addresses[i]!;
    return [...(candidates ?? [])].some(
      ({request}) => request.address.port === port,
    );
  });
}

// Guards against a configuration that is gone after two planned replacements.
test('voters replaced as planned, one right after the other, leave a majority', async t => {
  const cluster = await setUp(t, 6);
  for (const i of [0, 1, 2]) await cluster.start(i, true);
  await cluster.putConfig(0, 1);
  for (const successor of [3, 4, 5]) {
    await startSuccessor(cluster, successor);
    const [voter] = voterIndexes(cluster);
    await cluster.leave(voter!);
    await cluster.putConfig(successor, successor);
  }
  expect(voterIndexes(cluster)).toEqual([3, 4, 5]);
  await until('5 is read', async () => (await cluster.readVersion(3)) === 5);
});

test('a leader that stops as planned gives up its vote too', async t => {
  const cluster = await setUp(t, 4);
  for (const i of [0, 1, 2]) await cluster.start(i, true);
  await cluster.putConfig(0, 1);
  await startSuccessor(cluster, 3);
  const leader = cluster.leaderIndex()!;
  await cluster.leave(leader);
  const others = [0, 1, 2].filter(i => i !== leader);
  expect(voterIndexes(cluster)).toEqual([...others, 3]);
  await cluster.stop(others[0]!);
  await cluster.putConfig(3, 2);
});

test('a voter that nobody can replace stops at once, and comes back', async t => {
  const cluster = await setUp(t, 3);
  for (const i of [0, 1, 2]) await cluster.start(i, true);
  await cluster.putConfig(0, 1);
  for (const i of [0, 1, 2]) {
    await cluster.leave(i);
    await cluster.start(i, false);
    await cluster.putConfig(i, i + 2);
  }
  expect(voterIndexes(cluster).sort()).toEqual([0, 1, 2]);
});

const TIMING = {
  heartbeatMs: 100,
  electionTimeoutMinMs: 320,
  electionTimeoutMaxMs: 640,
  clockDriftMs: 50,
};

/** A keeper at a leader whose second member has been silent for a while. */
function keeperWithSilentVoter(silentMs: number) {
  const nowMs = 100_000;
  const names = ['a', 'b', 'c'];
  const replicas = names.map((name, i) =>
    toReplica({host: name, port: 1}, replicaId(`${name}/${i}`)),
  );
  const progressOf = (i: number) => ({
    lastContactAtMs: nowMs - (i === 1 ? silentMs : 0),
    matchIndex: 9,
  });
  const changes: MembershipChange[] = [];
  const node = {
    id: replicas[0]!.id,
    isLeader: true,
    membership: {replicas},
    raft: {
      term: 1,
      log: {entries: [], snapshot: {index: 9, term: 1}},
      progress: new Map(replicas.map(({id}, i) => [id, progressOf(i)])),
    },
    changeMembership: (change: MembershipChange) => {
      changes.push(change);
      return new Promise(() => undefined);
    },
  };
  const keeper = new MembershipKeeper({
    node: node as never,
    voters: 3,
    timing: TIMING,
    zoneOf: (): ZoneId | undefined => undefined,
    logger: silentLogger,
    nowMs: () => nowMs,
  });
  keeper.addCandidate({
    replica: replicaId('d/1'),
    address: {host: 'd', port: 1},
    zone: zoneId('z'),
  });
  return {keeper, changes};
}

// Guards against a lost voter that still counts when the next one may be lost:
// a replacement started 2 s before the loss, and has 4 s in all.
test('a killed voter is replaced within the time that its successor has', () => {
  const {keeper, changes} = keeperWithSilentVoter(1_500);
  keeper.adjust();
  expect(changes.map(change => change.kind)).toEqual(['add_learner']);
});

test('a voter that missed one election is not replaced', () => {
  const {keeper, changes} = keeperWithSilentVoter(640);
  keeper.adjust();
  expect(changes).toEqual([]);
});

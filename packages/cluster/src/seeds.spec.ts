/** Tests that daemons find the control group through seeds that do not vote. */
import {test, type TestContext} from 'node:test';
import {TestCluster, until} from './testing/cluster.js';

const ALL = [0, 1, 2, 3, 4, 5];

/** A group of three voters among six control daemons, with a configuration. */
async function setUp(t: TestContext) {
  const cluster = await TestCluster.create(ALL.length + 1);
  t.after(() => cluster.close());
  for (const i of ALL) await cluster.start(i, true);
  await cluster.putConfig(0, 1);
  const isVoter = (i: number) =>
    cluster.controls.get(i)!.metrics()['is_voter'] === 1;
  return {cluster, others: ALL.filter(i => !isVoter(i))};
}

async function untilEntryHasConfig(cluster: TestCluster): Promise<void> {
  const entry = cluster.startEntry();
  await until('the entry has the configuration and a leader', () => {
    const hasLeader = entry.metrics()['has_leader'] === 1;
    return entry.activeConfig() !== undefined && hasLeader;
  });
}

// Guards against entries that stay without a configuration for good.
test('after the seeds were exchanged for daemons without a vote and all were killed, entries find the group', async t => {
  const {cluster, others} = await setUp(t);
  for (const i of ALL) await cluster.stop(i);
  cluster.seeds = others;
  for (const i of ALL) await cluster.start(i, false);
  await untilEntryHasConfig(cluster);
});

test('an entry whose seeds do not vote finds a group that goes on', async t => {
  const {cluster, others} = await setUp(t);
  cluster.seeds = others;
  await untilEntryHasConfig(cluster);
});

// Guards against successors that never replace anybody.
test('a daemon whose only seed does not vote joins the group', async t => {
  const {cluster, others} = await setUp(t);
  cluster.seeds = others.slice(0, 1);
  const successor = ALL.length;
  await cluster.start(successor, false);
  await until('the successor has found the group', async () => {
    return (await cluster.readVersion(successor)) === 1;
  });
  for (const i of others) await cluster.stop(i);
  const leader = cluster.leaderIndex()!;
  await cluster.stop(ALL.find(i => i !== leader && !others.includes(i))!);
  await until('the successor votes', () => {
    return cluster.controls.get(successor)!.metrics()['is_voter'] === 1;
  });
});

test('daemons without a vote that restart alone find the group again', async t => {
  const {cluster, others} = await setUp(t);
  for (const i of others) await cluster.stop(i);
  cluster.seeds = others;
  for (const i of others) await cluster.start(i, false);
  for (const i of others) {
    await until(`daemon ${i} reads`, async () => {
      return (await cluster.readVersion(i)) === 1;
    });
  }
});

/** Disks of control daemons that are full for a while, one after another. */
import {expect} from 'earl';
import {test, type TestContext} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {TestCluster, until} from './testing/cluster.js';

const FULL_MS = Number(process.env['FULL_MS'] ?? 700);
const CHANGE_EVERY_MS = 25;

async function setUp(
  t: TestContext,
  size: number,
  voters: number,
  replaceAfterMs?: number,
): Promise<TestCluster> {
  const cluster = await TestCluster.create(size, voters);
  cluster.replaceAfterMs = replaceAfterMs;
  t.after(() => cluster.close());
  for (let i = 0; i < size; i += 1) await cluster.start(i, true);
  await until('a leader', () => cluster.leaderIndex() !== undefined);
  await cluster.putConfig(0, 1);
  return cluster;
}

/** Sends changes without a pause; stops and returns the last version. */
function sendChanges(cluster: TestCluster): () => Promise<number> {
  let version = 1;
  let isStopped = false;
  const loop = async () => {
    while (!isStopped) {
      version += 1;
      const nodes = [...cluster.controls.values()];
      const node = nodes[version % nodes.length];
      const document = String(version);
      void node?.change({kind: 'put_config', version, document});
      await delay(CHANGE_EVERY_MS);
    }
  };
  const done = loop();
  return async () => {
    isStopped = true;
    await done;
    return version;
  };
}

async function fillInTurn(
  cluster: TestCluster,
  order: readonly number[],
): Promise<void> {
  for (const i of order) {
    const disk = cluster.disk(i);
    disk.isFull = true;
    await delay(FULL_MS);
    disk.isFull = false;
    await delay(FULL_MS / 2);
  }
}

/** Every daemon accepts a change and reads it back, also while one is lost. */
async function isSound(
  cluster: TestCluster,
  version: number,
): Promise<boolean> {
  let next = version;
  for (const i of [...cluster.controls.keys()]) {
    next += 1;
    await cluster.putConfig(i, next);
  }
  const all = [...cluster.controls.keys()];
  for (const lost of all) {
    await cluster.stop(lost);
    next += 1;
    await cluster.putConfig(
      all.find(i => i !== lost)!,
      next,
    );
    await cluster.start(lost, false);
    await until(
      `${lost} reads`,
      async () => (await cluster.readVersion(lost)) === next,
    );
  }
  return true;
}

test('changes are refused for good after each of three disks was full', async t => {
  const cluster = await setUp(t, 3, 3);
  const stop = sendChanges(cluster);
  await fillInTurn(cluster, [0, 1, 2, 0, 1, 2]);
  const version = await stop();
  expect([0, 1, 2].map(i => cluster.disk(i).refused > 0)).toEqual([
    true,
    true,
    true,
  ]);
  expect(await isSound(cluster, version)).toEqual(true);
});

test('changes are refused for good after the disk of each leader was full', async t => {
  const cluster = await setUp(t, 5, 3);
  const stop = sendChanges(cluster);
  for (let i = 0; i < 5; i += 1) {
    await until('a leader', () => cluster.leaderIndex() !== undefined);
    await fillInTurn(cluster, [cluster.leaderIndex()!]);
  }
  expect(await isSound(cluster, await stop())).toEqual(true);
});

test('a daemon that was replaced while its disk was full refuses changes for good', async t => {
  const cluster = await setUp(t, 5, 3, FULL_MS / 2);
  const stop = sendChanges(cluster);
  for (let i = 0; i < 5; i += 1) {
    await until('a leader', () => cluster.leaderIndex() !== undefined);
    await fillInTurn(cluster, [cluster.leaderIndex()!]);
  }
  expect(await isSound(cluster, await stop())).toEqual(true);
});

test('a daemon that restarts while its disk is full never comes back', async t => {
  const cluster = await setUp(t, 3, 3);
  const stop = sendChanges(cluster);
  for (const i of [0, 1, 2]) {
    cluster.disk(i).isFull = true;
    await delay(FULL_MS / 2);
    await cluster.stop(i);
    await cluster.start(i, false);
    await delay(FULL_MS);
    cluster.disk(i).isFull = false;
    await delay(FULL_MS / 2);
  }
  expect(await isSound(cluster, await stop())).toEqual(true);
});

test('an empty daemon that starts while its disk is full ends or never joins', async t => {
  const cluster = await setUp(t, 3, 3);
  await cluster.stop(2);
  cluster.wipeDisk(2);
  cluster.disk(2).isFull = true;
  await cluster.start(2, false);
  await delay(FULL_MS);
  cluster.disk(2).isFull = false;
  await cluster.putConfig(0, 2);
  await until('it reads', async () => (await cluster.readVersion(2)) === 2);
});

test('a snapshot that is due while the disk is full stops the daemon for good', async t => {
  const cluster = await setUp(t, 3, 3);
  let version = 1;
  for (const i of [0, 1, 2]) {
    cluster.disk(i).isFull = true;
    const changes = Array.from({length: 450}, () => {
      version += 1;
      const document = String(version);
      const change = {kind: 'put_config' as const, version, document};
      return cluster.controls.get((i + 1) % 3)!.change(change);
    });
    await Promise.all(changes);
    cluster.disk(i).isFull = false;
    await delay(FULL_MS);
  }
  expect(await isSound(cluster, version)).toEqual(true);
});

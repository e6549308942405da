/** Large configurations that change often: what disks and memory hold of them. */
import {expect} from 'earl';
import {test} from 'node:test';
import type {EntryNode} from './entry/index.js';
import {decodeTestDocument, TestCluster, until} from './testing/cluster.js';

const DOCUMENT_BYTES = 500_000;
const CHANGES = 40;
/** A snapshot, a log that is due for the next one, and the next one. */
const MAX_DISK_BYTES = 16_000_000;

/** The test documents are numbers, which may have spaces around them. */
const largeDocument = (version: number) =>
  String(version).padEnd(DOCUMENT_BYTES);

// Guards against disks that large configurations fill for good.
test('disks hold a bounded part of many changes, also after restarts', async t => {
  const cluster = await TestCluster.create(3);
  t.after(() => cluster.close());
  const all = [0, 1, 2];
  for (const i of all) await cluster.start(i, true);
  for (let version = 1; version <= CHANGES; version += 1)
    await cluster.putConfig(version % 3, version, largeDocument(version));
  const isBounded = () => all.every(i => cluster.diskBytes(i) < MAX_DISK_BYTES);
  await until('all disks are bounded', isBounded);
  for (const i of all) await cluster.stop(i);
  for (const i of all) await cluster.start(i, false);
  await until('the last version is read', async () => {
    return (await cluster.readVersion(0)) === CHANGES;
  });
  expect(isBounded()).toEqual(true);
});

test('a daemon that was away catches up with many large changes', async t => {
  const cluster = await TestCluster.create(3);
  t.after(() => cluster.close());
  for (const i of [0, 1, 2]) await cluster.start(i, true);
  await cluster.putConfig(0, 1, largeDocument(1));
  const away = [0, 1, 2].find(i => i !== cluster.leaderIndex())!;
  await cluster.stop(away);
  const [i] = [...cluster.controls.keys()];
  for (let version = 2; version <= CHANGES; version += 1)
    await cluster.putConfig(i!, version, largeDocument(version));
  await cluster.start(away, false);
  const {index} = (await cluster.controls.get(i!)!.readNewest())!;
  await until('the daemon has all changes', () => {
    return cluster.controls.get(away)!.metrics()['state_index'] === index;
  });
  expect(cluster.diskBytes(away) < MAX_DISK_BYTES).toEqual(true);
});

const ROUTES = 4_000;
const routesDocument = (version: number) =>
  JSON.stringify({
    version,
    routes: Array.from({length: ROUTES}, (_, i) => ({
      name: `route-${i}`,
      prefix: `/${i * 7_919}/`,
      weight: i === version ? 2 : 1,
    })),
  });

function decodeVersion(document: unknown) {
  return decodeTestDocument((document as {version: number}).version);
}

/** Bytes that the entry has received from control daemons on open links. */
function receivedBytes(entry: EntryNode): number {
  const peers = entry['controls']['links'].connectedPeers();
  return peers.reduce((sum, peer) => sum + peer['socket'].bytesRead, 0);
}

// Guards against changes that wait for one another, since each sends everything.
test('a change of a large document sends the whole document to an entry', async t => {
  const cluster = await TestCluster.create(3, 3, decodeVersion);
  t.after(() => cluster.close());
  for (const i of [0, 1, 2]) await cluster.start(i, true);
  await cluster.putConfig(0, 1, routesDocument(1));
  const entry = cluster.startEntry();
  const hasVersion = (version: number) => () =>
    entry.activeConfig()?.view.table.version === version;
  await until('the first version is in force', hasVersion(1));
  await until('all links are open', () => entry.metrics()['controls_up'] === 3);
  const beforeBytes = receivedBytes(entry);
  const last = 20;
  for (let version = 2; version <= last; version += 1)
    await cluster.putConfig(version % 3, version, routesDocument(version));
  await until('the last version is in force', hasVersion(last));
  const changeBytes = (receivedBytes(entry) - beforeBytes) / (last - 1);
  expect(changeBytes < routesDocument(1).length / 50).toEqual(true);
});

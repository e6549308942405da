/** Entries that start beside control daemons that are behind. */
import {expect} from 'earl';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {TestCluster, until} from './testing/cluster.js';

const DOCUMENT_BYTES = 700_000;
/** Enough for a snapshot, with later changes in the log. */
const CHANGES = 9;
const WATCH_MS = 1_000;

const largeDocument = (version: number) =>
  String(version).padEnd(DOCUMENT_BYTES);

test('an entry that starts serves by the snapshot of a daemon that is behind', async t => {
  const cluster = await TestCluster.create(3);
  t.after(() => cluster.close());
  for (const i of [0, 1, 2]) await cluster.start(i, true);
  for (let version = 1; version <= CHANGES; version += 1)
    await cluster.putConfig(0, version, largeDocument(version));
  for (const i of [0, 1, 2]) await cluster.stop(i);
  const alone = await cluster.start(0, false);
  expect(alone.metrics()['state_index']! > 0).toEqual(true);
  const entry = cluster.startEntry();
  const version = () => entry.activeConfig()?.view.table.version;
  await until('it has a link', () => entry.metrics()['controls_up'] === 1);
  await delay(WATCH_MS);
  expect(version()).toEqual(undefined);
  for (const i of [1, 2]) await cluster.start(i, false);
  await until('it has a configuration', () => version() !== undefined);
  expect(version()).toEqual(CHANGES);
});

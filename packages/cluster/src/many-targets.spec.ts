/** Links between daemons that know as many targets as the system is made for. */
import {expect} from 'earl';
import {test} from 'node:test';
import {targetId} from '@samphirefield/core';
import {targetLines} from './control/target-lines.js';
import {createAnnouncement, TestCluster, until} from './testing/cluster.js';

/** As many as the system is designed for. */
const TARGETS = 2_100;
/** A daemon takes a longer first line of a stranger for noise. */
const MAX_LINE_BYTES = 65_536;

function announceAll(cluster: TestCluster, sequence: number): void {
  const nodes = [...cluster.controls.values()];
  for (let i = 0; i < TARGETS; i += 1) {
    const id = targetId(`target-with-a-name-of-usual-length-${i}`);
    const port = 1_000 + i;
    nodes[i % nodes.length]!.announce(createAnnouncement({id, port, sequence}));
  }
}

// Guards against control daemons that cannot link again once targets are many.
test('with 2,100 targets, control daemons that restart in turn link again', async t => {
  const cluster = await TestCluster.create(5);
  t.after(() => cluster.close());
  cluster.targetSilentAfterMs = 600_000;
  const all = [0, 1, 2, 3, 4];
  for (const i of all) await cluster.start(i, true);
  await cluster.putConfig(0, 1);
  announceAll(cluster, 1);
  for (const i of all) {
    await cluster.leave(i);
    await cluster.start(i, false);
    const node = cluster.controls.get(i)!;
    await until(`daemon ${i} knows all targets and reads`, async () => {
      const isReading = (await cluster.readVersion(i)) !== undefined;
      return isReading && node.metrics()['targets'] === TARGETS;
    });
    await cluster.putConfig(i, 2 + i);
  }
  const entry = cluster.startEntry();
  await until('an entry knows all targets', () => {
    return entry.metrics()['targets'] === TARGETS;
  });
  for (const node of cluster.controls.values())
    expect(node.metrics()['links_closed_for_size']).toEqual(0);
});

test('no message of targets is as long as the longest first line', () => {
  const update = (i: number) => ({
    announcement: createAnnouncement({id: targetId(`t-${i}`)}),
    ageMs: i,
    isSilent: false,
  });
  const updates = Array.from({length: TARGETS}, (_, i) => update(i));
  const lines = [...targetLines(updates)];
  const sizes = lines.map(line => Buffer.byteLength(line));
  expect(Math.max(...sizes) < MAX_LINE_BYTES / 2).toEqual(true);
  const items = lines.flatMap(
    line => (JSON.parse(line) as {params: {items: unknown[]}}).params.items,
  );
  expect(items).toEqual(updates);
  expect([...targetLines([])]).toEqual([]);
});

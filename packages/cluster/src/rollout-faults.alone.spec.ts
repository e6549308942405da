/** Rollouts while daemons, disks and the control group fail. */
import {expect} from 'earl';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {silentLogger} from '@samphirefield/core';
import {until} from './testing/cluster.js';
import {startEntryGateway} from './testing/gateways.js';
import {
  isWithinShare,
  order,
  readRollout,
  setUpRollout,
  SERVICE,
  waitForEnd,
  type RolloutPlay,
} from './testing/rollouts.js';

const DURATION_MS = 9_000;
/** The longest lease, and time for what is under way. */
const LEASES_END_MS = 2_000;

const leaderOf = ({cluster}: RolloutPlay) =>
  cluster.controls.get(cluster.leaderIndex() ?? -1);

/** What the leader decided last on the rollout. */
const decisionOf = (play: RolloutPlay) =>
  leaderOf(play)?.['rollouts']['watched'].get(SERVICE)?.decision?.kind;

const killLeader = async ({cluster}: RolloutPlay) => {
  const leader = cluster.leaderIndex()!;
  await cluster.stop(leader);
  await cluster.start(leader, false);
};

const getsRequests = (play: RolloutPlay) =>
  until('the new version gets requests', () => play.runsAtMs.new.length > 0);

type Step = (play: RolloutPlay) => Promise<void>;

/** Points of a rollout at which the leader is killed. */
const STEPS: ReadonlyArray<readonly [string, Step]> = [
  ['after the order', async () => undefined],
  ['while it grants', getsRequests],
  [
    'while it closes the old version',
    play => until('it closes', () => decisionOf(play) === 'complete'),
  ],
];

for (const [name, step] of STEPS) {
  test(`a good version is not completed when the leader is killed ${name}`, async t => {
    const play = await setUpRollout(t);
    play.startCallers();
    await order(play, DURATION_MS);
    await step(play);
    await killLeader(play);
    const {state} = await waitForEnd(play);
    const endedAtMs = performance.now();
    await delay(300);
    await play.stopCallers();
    expect(state).toEqual('completed');
    expect(play.runsAtMs.old.filter(atMs => atMs > endedAtMs)).toEqual([]);
  });
}

test('the end of a rollout changes when the leader is killed after it', async t => {
  const play = await setUpRollout(t);
  play.failureShare = 0.6;
  play.startCallers();
  await order(play, DURATION_MS);
  const end = await waitForEnd(play);
  await killLeader(play);
  const endedAtMs = performance.now();
  expect(await waitForEnd(play)).toEqual(end);
  expect(await order(play, DURATION_MS)).toEqual('accepted');
  expect(await readRollout(play)).toEqual(end);
  await delay(300);
  await play.stopCallers();
  expect(play.runsAtMs.new.filter(atMs => atMs > endedAtMs)).toEqual([]);
});

test('a bad version gets more than its share when leaders are killed in turn', async t => {
  const play = await setUpRollout(t);
  play.failureShare = 0.15;
  play.startCallers();
  const orderedAtMs = performance.now();
  await order(play, DURATION_MS);
  await getsRequests(play);
  await killLeader(play);
  await delay(1_500);
  await killLeader(play);
  const {state} = await waitForEnd(play);
  await play.stopCallers();
  expect(state).toEqual('rolled_back');
  expect(isWithinShare(play, orderedAtMs)).toEqual(true);
});

test('entries send to the new version without a group that can end the rollout', async t => {
  const play = await setUpRollout(t);
  play.startCallers();
  await order(play, DURATION_MS);
  await getsRequests(play);
  const {cluster} = play;
  const stopped = [0, 1, 2].filter(i => i !== cluster.leaderIndex());
  for (const i of stopped) await cluster.stop(i);
  for (const {entry} of play.gateways) {
    // Only the end of the lease keeps the entry from sending.
    const held = entry.rollouts['running'].get(SERVICE)!['held']!;
    Object.assign(held.lease, {allowedRequests: 1e6, sendShare: 1});
  }
  await delay(LEASES_END_MS);
  const leasesEndAtMs = performance.now();
  await delay(1_000);
  const late = play.runsAtMs.new.filter(atMs => atMs > leasesEndAtMs);
  expect(late).toEqual([]);
  expect(await readRollout(play)).toEqual(undefined);
  for (const i of stopped) await cluster.start(i, false);
  const {state} = await waitForEnd(play);
  expect(state === 'running').toEqual(false);
});

test('an entry that restarts uses an allowance twice', async t => {
  const play = await setUpRollout(t);
  play.failureShare = 0.15;
  play.startCallers();
  const orderedAtMs = performance.now();
  await order(play, DURATION_MS);
  await getsRequests(play);
  for (const position of [0, 1, 2]) {
    play.gateways[position]!.close();
    const name = `e${position + 1}`;
    play.gateways[position] = await startEntryGateway(
      play.cluster,
      name,
      silentLogger,
    );
  }
  const {state} = await waitForEnd(play);
  await play.stopCallers();
  expect(state).toEqual('rolled_back');
  expect(isWithinShare(play, orderedAtMs)).toEqual(true);
});

test('an order whose acknowledgement was lost starts a second rollout', async t => {
  const play = await setUpRollout(t);
  const submitted = [0, 1, 2].map(i => {
    const controls = new Map([[i, play.cluster.controls.get(i)!]]);
    return order({cluster: {controls}}, DURATION_MS);
  });
  expect(new Set(await Promise.all(submitted))).toEqual(new Set(['accepted']));
  const first = await readRollout(play);
  await killLeader(play);
  expect(await order(play, DURATION_MS)).toEqual('accepted');
  expect(await readRollout(play)).toEqual(first);
});

test('an acknowledged order is lost with a minority of the disks', async t => {
  const play = await setUpRollout(t);
  const {cluster} = play;
  await order(play, DURATION_MS);
  const first = await readRollout(play);
  const wiped = cluster.leaderIndex()!;
  await cluster.stop(wiped);
  cluster.wipeDisk(wiped);
  await cluster.start(wiped, false);
  await until('the wiped daemon tells the rollout', async () => {
    const node = cluster.controls.get(wiped)!;
    const state = await node.readNewest();
    if (state === undefined) return false;
    expect(state.rollouts).toEqual([first!]);
    return true;
  });
});

test('a running rollout is lost, or never ends, after all processes were killed', async t => {
  const play = await setUpRollout(t);
  play.startCallers();
  await order(play, DURATION_MS);
  await getsRequests(play);
  for (const i of [0, 1, 2]) await play.cluster.stop(i);
  for (const {close} of play.gateways) close();
  for (const i of [0, 1, 2]) await play.cluster.start(i, false);
  for (const i of [0, 1, 2])
    play.gateways[i] = await startEntryGateway(
      play.cluster,
      `e${i + 1}`,
      silentLogger,
    );
  const {state} = await waitForEnd(play);
  expect(state === 'running').toEqual(false);
});

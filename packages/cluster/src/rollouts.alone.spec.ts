/** Rollouts of good and bad versions, and orders that race with other changes. */
import {expect} from 'earl';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {targetId, zoneId} from '@samphirefield/core';
import {versionId} from '@samphirefield/gateway';
import {until} from './testing/cluster.js';
import {
  exposureOf,
  isWithinShare,
  NEW,
  order,
  readRollout,
  setUpRollout,
  waitForEnd,
  type RolloutPlay,
} from './testing/rollouts.js';

const DURATION_MS = 5_000;
const SETTLE_MS = 300;

/** Runs a rollout while callers send requests; returns its end and the times. */
async function playOut(play: RolloutPlay, durationMs = DURATION_MS) {
  play.startCallers();
  const orderedAtMs = performance.now();
  expect(await order(play, durationMs)).toEqual('accepted');
  const {state} = await waitForEnd(play);
  const endedAtMs = performance.now();
  await delay(SETTLE_MS);
  await play.stopCallers();
  return {state, orderedAtMs, endedAtMs};
}

const isAfter = (sinceMs: number) => (atMs: number) => atMs > sinceMs;

test('a good version is not completed, or old targets get requests after it', async t => {
  const play = await setUpRollout(t);
  const {state, endedAtMs} = await playOut(play);
  expect(state).toEqual('completed');
  expect(play.runsAtMs.old.filter(isAfter(endedAtMs))).toEqual([]);
  expect(play.statuses.every(status => status === 200)).toEqual(true);
});

test('a bad version gets more than its share, or requests after its end', async t => {
  const play = await setUpRollout(t);
  play.failureShare = 0.5;
  const {state, orderedAtMs, endedAtMs} = await playOut(play);
  expect(state).toEqual('rolled_back');
  expect(isWithinShare(play, orderedAtMs)).toEqual(true);
  expect(play.runsAtMs.new.filter(isAfter(endedAtMs))).toEqual([]);
});

test('the leader places more runs on engines of a bad version than its share', async t => {
  const play = await setUpRollout(t, {isEngine: true});
  play.failureShare = 0.5;
  const {state, orderedAtMs, endedAtMs} = await playOut(play);
  expect(state).toEqual('rolled_back');
  expect(isWithinShare(play, orderedAtMs)).toEqual(true);
  expect(exposureOf(play, orderedAtMs) > 0).toEqual(true);
  expect(play.runsAtMs.new.filter(isAfter(endedAtMs))).toEqual([]);
});

// Guards against runs that are aborted with the old targets, which are stopped
// at once: they have to move before the rollout is completed.
test('runs on old engines are not moved before the rollout is completed', async t => {
  const play = await setUpRollout(t, {isEngine: true});
  const {entry} = play.gateways[0]!;
  const movedIn: Array<string | undefined> = [];
  entry.onDraining(targetId('desk-0'), () => {
    void readRollout(play).then(rollout => movedIn.push(rollout?.state));
  });
  let isNewMoved = false;
  entry.onDraining(targetId('desk-4'), () => (isNewMoved = true));
  const {state} = await playOut(play);
  expect(state).toEqual('completed');
  // Guards against a leader that closes the old version before an entry knows:
  // requests would run out of targets.
  expect(play.statuses.every(status => status === 200)).toEqual(true);
  expect(movedIn).toEqual(['running']);
  expect(isNewMoved).toEqual(false);
});

test('two orders for one service at once both start', async t => {
  const play = await setUpRollout(t);
  const targets = [NEW, versionId('v3')];
  const outcomes = await Promise.all(
    targets.map((target, i) => {
      const node = play.cluster.controls.get(i)!;
      const controls = new Map([[i, node]]);
      return order({cluster: {controls}}, DURATION_MS, target);
    }),
  );
  expect([...outcomes].sort()).toEqual(['accepted', 'conflict']);
  const started = targets[outcomes.indexOf('accepted')];
  expect((await readRollout(play))?.target).toEqual(started);
});

test('an order while one runs replaces it, or the same order begins it again', async t => {
  const play = await setUpRollout(t);
  expect(await order(play, DURATION_MS)).toEqual('accepted');
  const first = await readRollout(play);
  expect(await order(play, DURATION_MS + 1)).toEqual('conflict');
  expect(await order(play, DURATION_MS)).toEqual('accepted');
  expect(await readRollout(play)).toEqual(first);
});

test('a configuration that moves the service away leaves its rollout running', async t => {
  const play = await setUpRollout(t);
  play.startCallers();
  await order(play, DURATION_MS);
  await delay(DURATION_MS / 4);
  await play.cluster.putConfig(0, 2, '"moved 2"');
  const {state} = await waitForEnd(play);
  expect(state === 'running').toEqual(false);
});

test('an evacuated zone gets requests because a rollout grants them', async t => {
  const play = await setUpRollout(t);
  play.startCallers();
  await order(play, DURATION_MS);
  await until('the new version gets requests', () => {
    return play.runsAtMs.new.length > 0;
  });
  const change = {kind: 'set_zone', zone: zoneId('z1'), isOut: true} as const;
  await play.cluster.controls.get(0)!.change(change);
  await delay(SETTLE_MS);
  const outAtMs = performance.now();
  const {state} = await waitForEnd(play);
  await play.stopCallers();
  expect(state).toEqual('rolled_back');
  expect(play.runsAtMs.new.filter(isAfter(outAtMs))).toEqual([]);
});

test('a version without targets is completed, or its rollout never ends', async t => {
  const play = await setUpRollout(t, {newTargets: 0});
  const {state} = await playOut(play);
  expect(state).toEqual('rolled_back');
  expect(play.statuses.every(status => status === 200)).toEqual(true);
});

test('a version that loses all of its targets is completed', async t => {
  const play = await setUpRollout(t);
  play.startCallers();
  await order(play, DURATION_MS);
  await until('the new version gets requests', () => {
    return play.runsAtMs.new.length > 0;
  });
  for (const position of [3, 4, 5]) play.targets.leave(position);
  const {state} = await waitForEnd(play);
  await play.stopCallers();
  expect(state).toEqual('rolled_back');
});

test('an order is accepted while an entry would not obey it', async t => {
  const play = await setUpRollout(t);
  const leader = play.cluster.controls.get(play.cluster.leaderIndex()!)!;
  const hellos = leader['subscribers']['hellos'];
  const [peer, hello] = [...hellos].find(([, {role}]) => role === 'entry')!;
  hellos.set(peer, {...hello, handlesRollouts: false});
  const request = {service: play.service, target: NEW, durationMs: 1_000};
  const outcomes = [...play.cluster.controls.values()].map(node =>
    node.startRollout(request),
  );
  expect(new Set(await Promise.all(outcomes))).toEqual(
    new Set(['unavailable']),
  );
  expect(await readRollout(play)).toEqual(undefined);
});

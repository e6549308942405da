/** Targets that state how busy and how fast they are. */
import {expect} from 'earl';
import {test, type TestContext} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {call, type CallerResponse} from '@samphirefield/gateway/testing';
import {KEYS} from './testing/gateways.js';
import {until} from './testing/cluster.js';
import {setUpStating, type StatingPlay} from './testing/stating-targets.js';

const SLOW = 'Load: 1,0,8,400';
const USUAL = 'Load: 1,0,8,100';
const WITHOUT_PACE = 'Load: 1,0,8';
const WARM_UP = 60;
const COUNTED = 120;

async function send(play: StatingPlay): Promise<CallerResponse> {
  const {gateways} = play;
  const {port} = gateways[play.sent % gateways.length]!;
  play.sent += 1;
  return call(port, {
    attemptId: `a${play.sent}`,
    path: '/x',
    headers: {key: KEYS[0], 'deadline-ms': '4000'},
  });
}

/** The shares of the targets in requests sent one after the other. */
async function sharesOf(
  t: TestContext,
  isEngine: boolean,
  heads: readonly string[],
): Promise<{play: StatingPlay; shares: readonly number[]}> {
  const play = await setUpStating(t, {
    isEngine,
    heads: heads.map(head => [head]),
  });
  for (let i = 0; i < WARM_UP; i += 1) await send(play);
  // Reports of entries reach the leader.
  await delay(500);
  for (let i = 0; i < WARM_UP; i += 1) await send(play);
  const before = play.runsAtMs.map(runs => runs.length);
  for (let i = 0; i < COUNTED; i += 1) await send(play);
  const counts = play.runsAtMs.map((runs, i) => runs.length - before[i]!);
  return {play, shares: counts.map(count => count / COUNTED)};
}

function rowsOfLeader({cluster}: StatingPlay): number | undefined {
  const index = cluster.leaderIndex();
  const leader = index === undefined ? undefined : cluster.controls.get(index);
  return leader?.metrics()['target_load_rows'];
}

/** Sends on until the leader, which may change, knows all engines. */
async function leaderKnowsEngines(
  t: TestContext,
  play: StatingPlay,
): Promise<void> {
  const timer = setInterval(() => void send(play), 50);
  t.after(() => clearInterval(timer));
  await until(
    'the leader knows the engines',
    () => rowsOfLeader(play) === play.targets.ids.length,
  );
}

test('plain targets that state to be slow get as much as the others', async t => {
  const {shares} = await sharesOf(t, false, [SLOW, USUAL, USUAL]);
  expect(shares[0]!).toBeLessThan(0.15);
});

test('engines that state to be slow to entries are not avoided by the leader', async t => {
  const {play, shares} = await sharesOf(t, true, [SLOW, USUAL, USUAL]);
  expect(shares[0]!).toBeLessThan(0.15);
  await leaderKnowsEngines(t, play);
});

test('a target that states no pace is avoided', async t => {
  const {shares} = await sharesOf(t, false, [
    'Load: 9,9,8',
    WITHOUT_PACE,
    WITHOUT_PACE,
  ]);
  expect(shares[0]!).toBeGreaterThan(0.15);
});

test('a load that cannot be meant changes a choice, or the response', async t => {
  const invalid = 'Load: 1,-2,8,400';
  const {play, shares} = await sharesOf(t, false, [
    invalid,
    WITHOUT_PACE,
    WITHOUT_PACE,
  ]);
  expect(shares[0]!).toBeGreaterThan(0.15);
  const metric = 'target_loads_invalid';
  expect(play.gateways[0]!.entry.metrics()[metric]!).toBeGreaterThan(0);
  play.heads.fill([invalid]);
  const response = await send(play);
  expect([response.status, response.headers['load']]).toEqual([
    200,
    '1,-2,8,400',
  ]);
});

test('a new leader knows nothing of slow engines', async t => {
  const {play} = await sharesOf(t, true, [SLOW, USUAL, USUAL]);
  await play.cluster.stop(play.cluster.leaderIndex()!);
  await leaderKnowsEngines(t, play);
});

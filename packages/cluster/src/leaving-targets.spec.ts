/** Targets that state in their answers that they leave, or want nothing for a while. */
import {expect} from 'earl';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {call} from '@samphirefield/gateway/testing';
import {until} from './testing/cluster.js';
import {KEYS} from './testing/gateways.js';
import {setUpStating, type StatingPlay} from './testing/stating-targets.js';

const send = async (play: StatingPlay, entry: number) => {
  play.sent += 1;
  const {port} = play.gateways[entry]!;
  const attemptId = `a${play.sent}`;
  const headers = {key: KEYS[0]};
  return call(port, {attemptId, body: attemptId, path: '/x', headers});
};

const sendMany = async (play: StatingPlay, entry: number, count: number) => {
  const statuses: number[] = [];
  for (let i = 0; i < count; i += 1)
    statuses.push((await send(play, entry)).status);
  return statuses;
};

const countRuns = (play: StatingPlay, position: number) =>
  play.runsAtMs[position]!.length;

for (const isEngine of [false, true]) {
  const kind = isEngine ? 'an engine' : 'a plain target';
  test(`${kind} that leaves gets more requests from the entry that it told`, async t => {
    const play = await setUpStating(t, {isEngine});
    play.heads[0] = ['Leaving: 1'];
    await until('the entry is told', async () => {
      await send(play, 0);
      return countRuns(play, 0) > 0;
    });
    const before = countRuns(play, 0);
    const statuses = await sendMany(play, 0, 30);
    expect(countRuns(play, 0)).toEqual(before);
    expect(statuses.every(status => status === 200)).toEqual(true);
  });

  test(`${kind} that leaves gets more requests from the other entries`, async t => {
    const play = await setUpStating(t, {isEngine});
    play.heads[0] = ['Leaving: 1'];
    await until('an entry is told', async () => {
      await send(play, 0);
      return countRuns(play, 0) > 0;
    });
    await delay(200);
    const before = countRuns(play, 0);
    for (const entry of [1, 2]) await sendMany(play, entry, 20);
    expect(countRuns(play, 0)).toEqual(before);
  });

  test(`${kind} that wants nothing for a while gets requests`, async t => {
    const play = await setUpStating(t, {isEngine});
    play.busy.set(0, 'Retry-After: 1');
    await until('the entry is told', async () => {
      await send(play, 0);
      return countRuns(play, 0) > 0;
    });
    const before = countRuns(play, 0);
    const statuses = await sendMany(play, 0, 30);
    expect(countRuns(play, 0)).toEqual(before);
    expect(statuses.every(status => status === 200)).toEqual(true);
    play.busy.clear();
    await until('it is used again', async () => {
      await send(play, 0);
      return countRuns(play, 0) > before;
    });
  });
}

test('a caller waits for targets that all want nothing, or is not told when to return', async t => {
  const play = await setUpStating(t, {isEngine: false});
  for (const position of [0, 1, 2]) play.busy.set(position, 'Retry-After: 2');
  await until('the entry is told', async () => {
    await send(play, 0);
    return play.runsAtMs.every(runs => runs.length > 0);
  });
  const before = play.runsAtMs.map(runs => runs.length);
  const startedAtMs = performance.now();
  const response = await send(play, 0);
  const tookMs = performance.now() - startedAtMs;
  expect(response.status).toEqual(503);
  expect(tookMs < 500).toEqual(true);
  const retryAfterS = Number(response.headers['retry-after']);
  expect(retryAfterS > 0.5 && retryAfterS <= 2).toEqual(true);
  expect(play.runsAtMs.map(runs => runs.length)).toEqual(before);
});

test('a bad statement changes something', async t => {
  const play = await setUpStating(t, {isEngine: false});
  const bad = ['-1', 'NaN', '1e300', 'Sat, 05 Dec 2026 05:00:00 GMT', ''];
  for (const [i, value] of bad.entries()) {
    play.busy.set(0, `Retry-After: ${value}`);
    play.heads[1] = [`Leaving: ${value || 'perhaps'}`];
    const before = countRuns(play, 1);
    await until(`${i}: targets are used again and again`, async () => {
      await send(play, 0);
      return countRuns(play, 1) > before + 3;
    });
  }
});

test('a target that no longer says that it leaves gets no requests', async t => {
  const play = await setUpStating(t, {isEngine: false});
  play.heads[0] = ['Leaving: 1'];
  await until('the entry is told', async () => {
    await send(play, 0);
    return countRuns(play, 0) > 0;
  });
  const before = countRuns(play, 0);
  play.heads[0] = [];
  await play.targets.restart(0);
  await until('its next start is used', async () => {
    await send(play, 0);
    return countRuns(play, 0) > before;
  });
});

test('the runs on a target that says it leaves are not moved', async t => {
  const play = await setUpStating(t, {isEngine: true});
  const [hearing, other] = play.gateways;
  const [target] = play.targets.ids;
  const start = {
    target: target!,
    bornMs: hearing!.entry.findTarget(target!)!.announcement.bornMs,
  };
  const moved: string[] = [];
  hearing!.entry.onDraining(target!, () => moved.push('run at the hearing'));
  other!.entry.onDraining(target!, () => moved.push('run at the other'));
  const stated = {limitsPerS: [], leaving: [1], pausesS: []};
  hearing!.entry.statements.hear(start, stated, performance.now());
  expect(moved).toEqual(['run at the hearing']);
  await until('the other entry is told', () => moved.length === 2);
  other!.entry.onDraining(target!, () => moved.push('later run'));
  expect(moved.length).toEqual(3);
});

/** Which control daemons an entry asks for their state, and when. */
import {expect} from 'earl';
import {test, type TestContext} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {silentLogger} from '@samphirefield/core';
import type {StateUpdate} from '../control/index.js';
import type {Peer} from '../link/index.js';
import {until} from '../testing/cluster.js';
import {StatePuller} from './state-puller.js';

interface FakeDaemon {
  readonly peer: Peer;
  index: number;
  requests: number;
  /** Answers the oldest request. */
  answer(index: number): void;
}

function createDaemon(index: number): FakeDaemon {
  const waiting: Array<(state: StateUpdate) => void> = [];
  const startedAtMs = performance.now();
  const daemon: FakeDaemon = {
    index,
    requests: 0,
    answer: newest =>
      waiting.shift()!({
        index: newest,
        version: newest,
        document: '',
        zonesOut: [],
        rollouts: [],
      }),
    peer: {
      get silentMs() {
        return performance.now() - startedAtMs;
      },
      request: () => {
        daemon.requests += 1;
        return new Promise<StateUpdate>(resolve => waiting.push(resolve));
      },
    } as unknown as Peer,
  };
  return daemon;
}

function startPuller(
  t: TestContext,
  daemons: readonly FakeDaemon[],
  canUse = true,
) {
  const known = {index: 0};
  const puller = new StatePuller({
    logger: silentLogger,
    nowMs: () => performance.now(),
    index: () => known.index,
    sources: () => daemons,
    request: () => ({knownVersion: known.index}),
    apply: async ({index}) => {
      if (canUse) known.index = Math.max(known.index, index);
      return Promise.resolve(canUse);
    },
  });
  t.after(() => puller.stop());
  puller.check();
  return {puller, known};
}

test('a daemon that hangs is the only one that is asked', async t => {
  const [hanging, other] = [createDaemon(2), createDaemon(1)];
  const {known} = startPuller(t, [hanging, other]);
  await until('the other daemon is asked', () => other.requests === 1);
  other.answer(1);
  await until('its state is used', () => known.index === 1);
  expect(hanging.requests).toEqual(1);
});

test('a response that comes after another daemon was asked is thrown away', async t => {
  const [late, other] = [createDaemon(2), createDaemon(2)];
  const {known} = startPuller(t, [late, other]);
  await until('the other daemon is asked', () => other.requests === 1);
  late.answer(2);
  await until('the late state is used', () => known.index === 2);
});

test('a state that cannot be used is asked for again without a pause', async t => {
  const daemon = createDaemon(1);
  startPuller(t, [daemon], false);
  for (let i = 0; i < 5; i += 1) {
    if (daemon.requests > i) daemon.answer(1);
    await delay(5);
  }
  expect(daemon.requests).toEqual(1);
  await until('it is asked again later', () => daemon.requests === 2);
});

test('each of several changes is pulled, not only the newest', async t => {
  const daemon = createDaemon(1);
  const {puller, known} = startPuller(t, [daemon]);
  for (const index of [2, 3, 4]) {
    daemon.index = index;
    puller.check();
  }
  expect(daemon.requests).toEqual(1);
  daemon.answer(1);
  await until('the next one is asked for', () => daemon.requests === 2);
  daemon.answer(4);
  await until('the newest state is used', () => known.index === 4);
  expect(daemon.requests).toEqual(2);
});

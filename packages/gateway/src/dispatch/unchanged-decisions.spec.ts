/**
 * Guards against a change of decisions where admission control is not enabled:
 * a digest of all decisions on a random load, taken on the code before it.
 */
import {expect} from 'earl';
import {createHash} from 'node:crypto';
import {test} from 'node:test';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {
  instanceId,
  requestId,
  serviceId,
  targetId,
  workspaceId,
  zoneId,
} from '@samphirefield/core';
import {Dispatcher} from './dispatcher.js';
import type {Demand, RunOutcome} from './types.js';

const SERVICES = [serviceId('engines'), serviceId('plain')];
const OUTCOMES: readonly RunOutcome[] = [
  'served',
  'rejected',
  'failed',
  'not_connected',
  'abandoned',
];
const STEPS = 20_000;
const STEP_MS = 7;
const TARGETS = 12;
/** Taken on commit 8c0792a, before admission control. */
const DIGEST_BEFORE =
  '4d2df900092ed70429a1f12dbf8c3d3fe35e8d0b4e5f861acb84c6dcc0434c48';

/** Plays a random load; returns a digest of every decision and its time. */
function playDigest(seed: number): string {
  const random = xoroshiro128plus(seed);
  const below = (bound: number) => uniformInt(random, 0, bound - 1);
  const digest = createHash('sha256');
  const running: string[] = [];
  let nowMs = 0;
  const dispatcher = new Dispatcher({
    onResult: (demand, result) => {
      if (result.kind === 'granted') running.push(demand.request);
      const {kind} = result;
      const outcome =
        kind === 'granted'
          ? result.target
          : `${result.reason} ${result.retryAfterMs}`;
      digest.update(`${nowMs} ${demand.request} ${kind} ${outcome}\n`);
    },
    share: service => (service === SERVICES[0] ? 1 : 0.7),
    random: () => below(1_000) / 1_000,
  });
  const [engines, plain] = SERVICES as [Demand['service'], Demand['service']];
  dispatcher.configure(
    [
      {service: engines, kvTokens: 27_000, coldRequestsPerS: 20},
      {service: plain, kvTokens: undefined, coldRequestsPerS: 0},
    ],
    new Set(),
  );
  const setTarget = (number: number, state: 'ready' | 'draining') => {
    const id = targetId(`t${number}`);
    dispatcher.setTarget(
      {
        announcement: {
          id,
          bornMs: 1 + below(3),
          sequence: 1,
          service: SERVICES[number % 2]!,
          host: id,
          port: 1,
          zone: zoneId(`z${number % 3}`),
          slots: 8,
          state,
          coldLeftMs: 0,
        },
        lastSeenAtMs: nowMs,
        coldUntilMs: nowMs + below(2_000),
      },
      below(20) === 0,
      nowMs,
    );
  };
  for (let i = 0; i < TARGETS; i += 1) setTarget(i, 'ready');
  const demand = (number: number): Demand => ({
    request: requestId(`r${number}`),
    service: SERVICES[below(2)]!,
    entry: instanceId(`e${below(4)}`),
    zone: zoneId(`z${below(3)}`),
    otherZonePenalty: 0.06,
    kvTokens: 500 + below(8_500),
    prefillTokens: below(3_000),
    isRunning: below(10) === 0,
    priority: below(3),
    workspace: below(3) === 0 ? undefined : workspaceId(`w${below(5)}`),
    inTimeMs: 100 + below(2_000),
    patienceMs: below(2) === 0 ? 1e9 : below(500),
    noTargetWaitMs: below(1_000),
    maxWaitMs: below(5) === 0 ? 0 : below(6_000),
    excluded: below(8) === 0 ? [targetId(`t${below(TARGETS)}`)] : [],
  });
  for (let step = 0; step < STEPS; step += 1) {
    nowMs += below(STEP_MS);
    const kind = below(100);
    if (kind < 52) dispatcher.acquire(demand(step), nowMs);
    else if (kind < 92 && running.length > 0) {
      const [run] = running.splice(below(running.length), 1);
      const outcome = OUTCOMES[below(OUTCOMES.length)]!;
      dispatcher.release(requestId(run!), outcome, nowMs);
    } else if (kind < 97) dispatcher.dispatchPending(nowMs);
    else if (kind < 98) setTarget(below(TARGETS), 'draining');
    else setTarget(below(TARGETS), 'ready');
  }
  return digest.digest('hex');
}

test('without admission control every decision is as before', () => {
  const digests = [1, 2, 3, 4].map(playDigest).join('');
  const digest = createHash('sha256').update(digests).digest('hex');
  expect(digest).toEqual(DIGEST_BEFORE);
});

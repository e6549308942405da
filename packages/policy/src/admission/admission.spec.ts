/** Admission control: order, refusals, room kept free, corrected reservations. */
import {expect} from 'earl';
import {test} from 'node:test';
import {requestId, workspaceId} from '@samphirefield/core';
import {correctedKvTokens} from './growth.js';
import {PrefillPace, prefillSample} from './pace.js';
import {ServiceAdmission} from './service-admission.js';
import type {AdmissionRequest} from './types.js';

function request(
  name: string,
  overrides: Partial<AdmissionRequest> = {},
): AdmissionRequest {
  return {
    request: requestId(name),
    workspace: undefined,
    priority: 0,
    kvTokens: 4_000,
    prefillTokens: 3_000,
    inTimeMs: 2_000,
    maxWaitMs: 20_000,
    ...overrides,
  };
}

type Admission = ServiceAdmission<AdmissionRequest>;

/** Starts the requests that `fits` accepts, and returns them in order. */
function startAll(
  {queue}: Admission,
  nowMs: number,
  fits: (item: AdmissionRequest) => boolean = () => true,
): string[] {
  const started: string[] = [];
  queue.offer(({request: item}) => {
    if (!fits(item)) return false;
    started.push(item.request);
    return true;
  }, nowMs);
  return started;
}

/** Admission control that has seen this many KV tokens freed a second. */
function withFreed(perS: number, untilMs: number): Admission {
  const admission: Admission = new ServiceAdmission();
  for (let atMs = 0; atMs < untilMs; atMs += 100) {
    admission.recordFreed(perS / 10, atMs);
  }
  return admission;
}

test('in time goes before overdue, then the most urgent, then the earliest due', () => {
  const admission: Admission = new ServiceAdmission();
  admission.add(request('overdue', {inTimeMs: 50}), 0, 0);
  admission.add(request('later', {inTimeMs: 3_000}), 0, 0);
  admission.add(request('sooner'), 0, 0);
  admission.add(request('less-urgent', {priority: 2, inTimeMs: 200}), 0, 0);
  expect(startAll(admission, 100)).toEqual([
    'sooner',
    'later',
    'less-urgent',
    'overdue',
  ]);
});

test('a small request may pass a large one that does not fit, no other', () => {
  const admission: Admission = new ServiceAdmission();
  admission.add(request('large', {kvTokens: 9_000}), 0, 0);
  admission.add(request('second-large', {kvTokens: 9_100}), 0, 1);
  admission.add(request('small', {kvTokens: 2_000}), 0, 2);
  const asked: string[] = [];
  const started = startAll(admission, 10, item => {
    asked.push(item.request);
    return item.kvTokens < 3_000;
  });
  expect(started).toEqual(['small']);
  expect(asked.includes('second-large')).toEqual(false);
});

test('a workspace that asks for more than its part goes behind the others', () => {
  const admission = withFreed(8_000, 2_000);
  const busy = {workspace: workspaceId('busy')};
  for (const name of ['b1', 'b2', 'b3']) {
    admission.add(request(name, busy), 2_000, 2_000);
  }
  const quiet = {workspace: workspaceId('quiet')};
  admission.add(request('q1', quiet), 2_100, 2_100);
  expect(startAll(admission, 2_200).slice(0, 2)).toEqual(['b1', 'q1']);
});

test('what is not expected to be served is refused, later ones later', () => {
  const admission = withFreed(10_000, 3_000);
  let refusedAfterMs = 0;
  for (let i = 0; i < 60; i += 1) {
    const item = request(`r${i}`);
    const decision = admission.decideArrival(item, 3_000, 3_000);
    if (decision.kind === 'refuse') {
      expect(decision.retryAfterMs).toBeGreaterThanOrEqual(refusedAfterMs);
      refusedAfterMs = decision.retryAfterMs;
      continue;
    }
    expect(refusedAfterMs).toEqual(0);
    admission.add(item, 3_000, 3_000);
  }
  // 20 s at 10,000 tokens a second, for requests of 4,000: about 50.
  expect(refusedAfterMs).toBeGreaterThan(20_000);
  expect(refusedAfterMs).toBeLessThan(25_000);
});

test('overdue requests are not held while no overdue one starts', () => {
  const admission: Admission = new ServiceAdmission();
  admission.add(request('r1', {inTimeMs: 1_000}), 0, 0);
  expect(admission.giveUpOverdue(6_900)).toEqual([]);
  const givenUp = admission.giveUpOverdue(7_100);
  expect(givenUp.map(item => item.request)).toEqual([requestId('r1')]);
  const waiting = admission.queue.find(requestId('r1'))!;
  admission.recordStart(waiting, 7_100);
  expect(admission.giveUpOverdue(7_200)).toEqual([]);
});

test('a request whose deadline leaves no time to run is not held', () => {
  const admission: Admission = new ServiceAdmission();
  admission.add(request('r1', {deadlineInMs: 3_000}), 0, 0);
  admission.add(request('r2', {deadlineInMs: 30_000}), 0, 0);
  // Half of a run of 500 + 14,000 ms is more than the 3 s that are left.
  expect(admission.queue.ended(0).map(item => item.request)).toEqual([
    requestId('r1'),
  ]);
});

test('a request that returns after a refusal goes behind those in time', () => {
  const admission: Admission = new ServiceAdmission();
  const refused = request('first-attempt', {kvTokens: 4_321});
  admission.recordArrival(refused, 0);
  admission.recordRefusal(refused, 0);
  const again = request('second-attempt', {kvTokens: 4_321});
  const firstAskedAtMs = admission.recordArrival(again, 5_000);
  expect(firstAskedAtMs).toEqual(0);
  admission.add(again, firstAskedAtMs, 5_000);
  const fresh = request('fresh');
  expect(admission.recordArrival(fresh, 5_100)).toEqual(5_100);
  admission.add(fresh, 5_100, 5_100);
  expect(startAll(admission, 5_200)).toEqual(['fresh', 'second-attempt']);
});

test('room for runs that leave their engine is kept from long requests', () => {
  const admission: Admission = new ServiceAdmission();
  const load = {freeTokens: 9_000, totalTokens: 90_000, leavingTokens: 6_000};
  const short = request('short', {kvTokens: 2_200, prefillTokens: 2_190});
  expect(admission.mayTakeRoom(request('long'), false, load, 0)).toEqual(false);
  expect(admission.mayTakeRoom(short, false, load, 0)).toEqual(true);
  const calm = {...load, leavingTokens: 0};
  expect(admission.mayTakeRoom(request('long'), false, calm, 0)).toEqual(true);
  expect(admission.mayTakeRoom(request('long'), true, calm, 0)).toEqual(false);
});

test('a reservation grows with its run, up to the longest output', () => {
  const run = {
    promptTokens: 3_000,
    maxKvTokens: 4_800,
    kvTokens: 3_500,
    startedAtMs: 0,
  };
  expect(correctedKvTokens(run, 1_000)).toEqual(3_500);
  const grown = correctedKvTokens(run, 20_000);
  expect(grown).toBeGreaterThan(4_000);
  expect(correctedKvTokens({...run, kvTokens: grown}, 90_000)).toEqual(4_800);
});

test('the prefill pace follows what short runs take', () => {
  const pace = new PrefillPace();
  for (let i = 0; i < 200; i += 1) {
    const sample = prefillSample(2_210, 2_200, 2_200, 0)!;
    pace.recordServed(sample, 1_240);
  }
  expect(Math.round(pace.tokensPerMs)).toEqual(4);
  expect(prefillSample(4_000, 2_200, 0, 0)).toEqual(undefined);
});

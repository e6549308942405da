/** The dispatcher under admission control: room, results and mixed daemons. */
import {expect} from 'earl';
import fc from 'fast-check';
import {test} from 'node:test';
import {
  instanceId,
  requestId,
  serviceId,
  targetId,
  zoneId,
} from '@samphirefield/core';
import {Dispatcher} from './dispatcher.js';
import type {Demand, DispatchResult} from './types.js';

const SERVICE = serviceId('engines');
const KV_TOKENS = 10_000;
const SLOTS = 4;

function demand(name: string, overrides: Partial<Demand> = {}): Demand {
  return {
    request: requestId(name),
    service: SERVICE,
    entry: instanceId('e1'),
    zone: zoneId('a'),
    otherZonePenalty: 0.1,
    kvTokens: 1_000,
    prefillTokens: 0,
    isRunning: false,
    priority: 0,
    workspace: undefined,
    inTimeMs: 10_000,
    patienceMs: 1e9,
    noTargetWaitMs: 2_000,
    maxWaitMs: 20_000,
    excluded: [],
    ...overrides,
  };
}

function setUp(targets: readonly string[], share = 1) {
  const results = new Map<string, DispatchResult[]>();
  const dispatcher = new Dispatcher({
    onResult: ({request}, result) =>
      results.set(request, [...(results.get(request) ?? []), result]),
    share: () => share,
    random: () => 0,
    usesAdmission: true,
  });
  dispatcher.configure(
    [{service: SERVICE, kvTokens: KV_TOKENS, coldRequestsPerS: 0}],
    new Set(),
  );
  const setTarget = (id: string, state: 'ready' | 'draining', nowMs: number) =>
    dispatcher.setTarget(
      {
        announcement: {
          id: targetId(id),
          bornMs: 1,
          sequence: 1,
          service: SERVICE,
          host: id,
          port: 1,
          zone: zoneId('a'),
          slots: SLOTS,
          state,
          coldLeftMs: 0,
        },
        lastSeenAtMs: nowMs,
        coldUntilMs: 0,
      },
      false,
      nowMs,
    );
  for (const id of targets) setTarget(id, 'ready', 0);
  const targetOf = (name: string) => {
    const result = results.get(name)?.[0];
    return result?.kind === 'granted' ? (result.target as string) : undefined;
  };
  return {dispatcher, results, targetOf, setTarget};
}

test('never exceeds slots or KV cache, and gives each demand one result', () => {
  const step = fc.record({
    kind: fc.constantFrom('start', 'start', 'move', 'release', 'drain'),
    kvTokens: fc.integer({min: 100, max: 6_000}),
    priority: fc.integer({min: 0, max: 2}),
  });
  fc.assert(
    fc.property(fc.array(step, {maxLength: 60}), steps => {
      const {dispatcher, results, targetOf, setTarget} = setUp(['t1', 't2']);
      const held = new Map<string, number>();
      steps.forEach(({kind, kvTokens, priority}, i) => {
        const nowMs = i * 50;
        const running = [...held.keys()].filter(name => targetOf(name));
        if (kind === 'release' && running[0] !== undefined) {
          held.delete(running[0]);
          dispatcher.release(requestId(running[0]), 'served', nowMs);
        } else if (kind === 'drain') {
          setTarget('t2', i % 2 === 0 ? 'draining' : 'ready', nowMs);
        } else {
          const isRunning = kind === 'move';
          const wait = isRunning ? {maxWaitMs: 0, patienceMs: 0} : {};
          const asked = {kvTokens, priority, isRunning, ...wait};
          held.set(`r${i}`, kvTokens);
          dispatcher.acquire(demand(`r${i}`, asked), nowMs);
        }
        dispatcher.dispatchPending(nowMs);
        for (const target of ['t1', 't2']) {
          const runs = [...held].filter(([name]) => targetOf(name) === target);
          const tokens = runs.reduce((sum, [, tokens]) => sum + tokens, 0);
          expect(runs.length).toBeLessThanOrEqual(SLOTS);
          expect(tokens).toBeLessThanOrEqual(KV_TOKENS);
        }
      });
      dispatcher.dispatchPending(1e6);
      for (const [name, items] of results) {
        expect([name, items.length]).toEqual([name, 1]);
      }
      expect(dispatcher.pendingCount).toEqual(0);
    }),
  );
});

test('small demands do not keep a large one from its room for good', () => {
  const {dispatcher, targetOf} = setUp(['t1', 't2']);
  let nowMs = 0;
  const small: string[] = [];
  const arrive = () => {
    const name = `s${nowMs}`;
    small.push(name);
    dispatcher.acquire(demand(name, {kvTokens: 2_600}), nowMs);
  };
  for (let i = 0; i < 8; i += 1, nowMs += 1) arrive();
  dispatcher.acquire(demand('large', {kvTokens: 9_000}), nowMs);
  while (nowMs < 9_000 && targetOf('large') === undefined) {
    nowMs += 100;
    arrive();
    const done = small.findIndex(name => targetOf(name) !== undefined);
    const [name] = small.splice(done, 1);
    dispatcher.release(requestId(name!), 'served', nowMs);
    dispatcher.dispatchPending(nowMs);
  }
  expect(targetOf('large') === undefined).toEqual(false);
});

test('long demands leave the freed room to runs on an engine that leaves', () => {
  const {dispatcher, targetOf, setTarget} = setUp(['t1', 't2']);
  dispatcher.acquire(demand('r1', {kvTokens: 9_000}), 0);
  dispatcher.acquire(demand('r2', {kvTokens: 9_000}), 0);
  dispatcher.acquire(demand('long', {kvTokens: 8_000}), 1);
  const leaving = targetOf('r1')!;
  setTarget(leaving, 'draining', 2);
  dispatcher.release(requestId('r2'), 'served', 10);
  expect(targetOf('long')).toEqual(undefined);
  const move = {isRunning: true, maxWaitMs: 0, patienceMs: 0, kvTokens: 9_000};
  dispatcher.acquire(demand('move', move), 20);
  expect(targetOf('move')).toEqual(targetOf('r2'));
});

test('room is not kept for runs that stay where they are', () => {
  const {dispatcher, targetOf, setTarget} = setUp(['t1', 't2']);
  dispatcher.acquire(demand('r1', {kvTokens: 9_000}), 0);
  dispatcher.acquire(demand('r2', {kvTokens: 9_000}), 0);
  dispatcher.acquire(demand('long', {kvTokens: 8_000}), 1);
  setTarget(targetOf('r1')!, 'draining', 2);
  dispatcher.release(requestId('r2'), 'served', 10);
  dispatcher.dispatchPending(6_500);
  expect(targetOf('long') === undefined).toEqual(false);
  const out = setUp(['t1', 't2']);
  out.dispatcher.acquire(demand('r1', {kvTokens: 9_000}), 0);
  out.dispatcher.configure(
    [
      {
        service: SERVICE,
        kvTokens: KV_TOKENS,
        canMove: false,
        coldRequestsPerS: 0,
      },
    ],
    new Set(),
  );
  out.setTarget(out.targetOf('r1')!, 'draining', 1);
  out.dispatcher.acquire(demand('long', {kvTokens: 8_000}), 2);
  expect(out.targetOf('long') === undefined).toEqual(false);
});

test('an entry with a share exceeds it once its patience is over', () => {
  const {dispatcher, targetOf} = setUp(['t1'], 0.25);
  const patient = {kvTokens: 2_000, patienceMs: 500};
  dispatcher.acquire(demand('r1', patient), 0);
  dispatcher.acquire(demand('r2', patient), 0);
  dispatcher.dispatchPending(400);
  expect([targetOf('r1'), targetOf('r2')]).toEqual(['t1', undefined]);
  dispatcher.dispatchPending(500);
  expect(targetOf('r2')).toEqual('t1');
});

test('a target that states that it leaves gets nothing', () => {
  const {dispatcher, targetOf, setTarget} = setUp(['t1', 't2']);
  setTarget('t1', 'draining', 1);
  dispatcher.acquire(demand('r1'), 2);
  expect(targetOf('r1')).toEqual('t2');
});

test('refuses soon while no target is usable', () => {
  const {dispatcher, results, setTarget} = setUp(['t1']);
  setTarget('t1', 'draining', 0);
  dispatcher.acquire(demand('r1'), 1);
  dispatcher.dispatchPending(2_001);
  expect(results.get('r1')).toEqual([
    {kind: 'refused', reason: 'no_target', retryAfterMs: undefined},
  ]);
});

test('counts what waits by priority', () => {
  const {dispatcher} = setUp(['t1']);
  dispatcher.acquire(demand('r1', {kvTokens: 10_000}), 0);
  dispatcher.acquire(demand('r2', {priority: 2}), 0);
  dispatcher.acquire(demand('r3', {priority: 2}), 0);
  expect(dispatcher.pendingByPriority.get(2)).toEqual(2);
});

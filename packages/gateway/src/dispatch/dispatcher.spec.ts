/** The dispatcher: sums of runs, order of demands and unusable targets. */
import {expect} from 'earl';
import fc from 'fast-check';
import {test} from 'node:test';
import {
  instanceId,
  requestId,
  serviceId,
  targetId,
  workspaceId,
  zoneId,
} from '@samphirefield/core';
import type {TargetRecord} from '../registry/index.js';
import {Dispatcher} from './dispatcher.js';
import {NO_LIMITS, type TargetLimiter} from './limiter.js';
import type {Demand, DispatchResult} from './types.js';

const SERVICE = serviceId('advice');
const KV_TOKENS = 10_000;

function record(
  id: string,
  overrides: Partial<TargetRecord['announcement']> = {},
  coldUntilMs = 0,
): TargetRecord {
  return {
    announcement: {
      id: targetId(id),
      bornMs: 1,
      sequence: 1,
      service: SERVICE,
      host: id,
      port: 1,
      zone: zoneId('a'),
      slots: 4,
      state: 'ready',
      coldLeftMs: 0,
      ...overrides,
    },
    lastSeenAtMs: 0,
    coldUntilMs,
  };
}

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
    patienceMs: 1_000,
    noTargetWaitMs: 2_000,
    maxWaitMs: 2_000,
    excluded: [],
    ...overrides,
  };
}

/** Limits of 2 a second on some targets, of which one sending is free. */
function limiterOf(limited: readonly string[]): TargetLimiter {
  const sent = new Set<string>();
  return {
    ...NO_LIMITS,
    maySend: id => !sent.has(id),
    recordSend: id => {
      if (limited.includes(id)) sent.add(id);
    },
    expectedPerS: id => (limited.includes(id) ? 2 : undefined),
  };
}

function setUp(
  targets: readonly TargetRecord[],
  coldRequestsPerS = 0,
  limiter: TargetLimiter = NO_LIMITS,
) {
  const results = new Map<string, DispatchResult>();
  const dispatcher = new Dispatcher({
    onResult: ({request}, result) => results.set(request, result),
    share: () => 1,
    random: () => 0,
    limiter,
  });
  dispatcher.configure(
    [{service: SERVICE, kvTokens: KV_TOKENS, coldRequestsPerS}],
    new Set(),
  );
  for (const target of targets) dispatcher.setTarget(target, false, 0);
  const targetOf = (name: string) => {
    const result = results.get(name);
    return result?.kind === 'granted' ? (result.target as string) : undefined;
  };
  return {dispatcher, results, targetOf};
}

test('prefers the less loaded target', () => {
  const {dispatcher, targetOf} = setUp([record('t1'), record('t2')]);
  dispatcher.acquire(demand('r1'), 0);
  dispatcher.acquire(demand('r2'), 0);
  expect(targetOf('r1')).not.toEqual(targetOf('r2'));
});

test('grants no run on a target that drains, is silent or is excluded', () => {
  const {dispatcher, targetOf} = setUp([
    record('t1', {state: 'draining'}),
    record('t2'),
    record('t3'),
    record('t4'),
  ]);
  dispatcher.setTarget(record('t2'), true, 0);
  const excluded = [targetId('t3')];
  dispatcher.acquire(demand('r1', {excluded}), 0);
  expect(targetOf('r1')).toEqual('t4');
});

test('grants no run in a zone that is out', () => {
  const {dispatcher, results} = setUp([record('t1')]);
  dispatcher.configure(
    [{service: SERVICE, kvTokens: KV_TOKENS, coldRequestsPerS: 0}],
    new Set([zoneId('a')]),
  );
  dispatcher.acquire(demand('r1', {maxWaitMs: 0}), 0);
  expect(results.get('r1')).toEqual({
    kind: 'refused',
    reason: 'no_target',
    retryAfterMs: undefined,
  });
});

test('waits for free capacity and grants more urgent demands first', () => {
  const {dispatcher, targetOf} = setUp([record('t1', {slots: 1})]);
  dispatcher.acquire(demand('r1'), 0);
  dispatcher.acquire(demand('r2', {priority: 1}), 1);
  dispatcher.acquire(demand('r3', {priority: 0}), 2);
  expect(targetOf('r3')).toEqual(undefined);
  dispatcher.release(requestId('r1'), 'served', 10);
  expect(targetOf('r3')).toEqual('t1');
  expect(targetOf('r2')).toEqual(undefined);
});

test('grants a run on a full plain target after the wait for free capacity', () => {
  const {dispatcher, targetOf} = setUp([record('t1', {slots: 1})]);
  const plain = {service: SERVICE, kvTokens: undefined, coldRequestsPerS: 0};
  dispatcher.configure([plain], new Set());
  dispatcher.acquire(demand('r1'), 0);
  dispatcher.acquire(demand('r2'), 0);
  dispatcher.dispatchPending(999);
  expect(targetOf('r2')).toEqual(undefined);
  dispatcher.dispatchPending(1_000);
  expect(targetOf('r2')).toEqual('t1');
});

test('never exceeds an engine, also not by running generations', () => {
  const {dispatcher, targetOf, results} = setUp([record('t1', {slots: 2})]);
  const small = {kvTokens: 1, maxWaitMs: 0};
  dispatcher.acquire(demand('r1', small), 0);
  dispatcher.acquire(demand('r2', small), 0);
  expect(targetOf('r2')).toEqual('t1');
  dispatcher.acquire(demand('patient', small), 0);
  expect(results.get('patient')?.kind).toEqual('refused');
  const move = {...small, patienceMs: 0, isRunning: true};
  dispatcher.acquire(demand('move', move), 0);
  expect(results.get('move')?.kind).toEqual('refused');
});

test('a running generation goes before the requests that wait', () => {
  const {dispatcher, targetOf} = setUp([record('t1')]);
  dispatcher.acquire(demand('r1', {kvTokens: 7_000}), 0);
  dispatcher.acquire(demand('waits', {kvTokens: 8_000}), 1);
  const move = {maxWaitMs: 0, patienceMs: 0, isRunning: true, priority: 1};
  dispatcher.acquire(demand('move', {...move, kvTokens: 2_000}), 2);
  expect(targetOf('move')).toEqual('t1');
  expect(targetOf('waits')).toEqual(undefined);
});

test('demands that have missed their time go behind those in time', () => {
  const {dispatcher, targetOf} = setUp([record('t1', {slots: 1})]);
  const inTimeMs = 500;
  dispatcher.acquire(demand('r1'), 0);
  dispatcher.acquire(demand('old', {inTimeMs}), 0);
  dispatcher.acquire(demand('new', {inTimeMs, priority: 1}), 400);
  dispatcher.release(requestId('r1'), 'served', 600);
  expect(targetOf('new')).toEqual('t1');
  expect(targetOf('old')).toEqual(undefined);
  dispatcher.release(requestId('new'), 'served', 700);
  expect(targetOf('old')).toEqual('t1');
});

test('a large demand does not hold up the small ones of another priority', () => {
  const {dispatcher, targetOf} = setUp([record('t1')]);
  dispatcher.acquire(demand('r1', {kvTokens: 8_000}), 0);
  dispatcher.acquire(demand('large', {kvTokens: 5_000}), 1);
  dispatcher.acquire(demand('small', {kvTokens: 1_000, priority: 1}), 2);
  dispatcher.dispatchPending(3);
  expect(targetOf('small')).toEqual('t1');
  expect(targetOf('large')).toEqual(undefined);
});

test('the workspaces of a priority take turns', () => {
  const {dispatcher, targetOf} = setUp([record('t1', {slots: 1})]);
  const [busy, quiet] = [workspaceId('busy'), workspaceId('quiet')];
  dispatcher.acquire(demand('r1'), 0);
  for (const name of ['b1', 'b2', 'b3']) {
    dispatcher.acquire(demand(name, {workspace: busy}), 1);
  }
  dispatcher.acquire(demand('q1', {workspace: quiet}), 2);
  dispatcher.release(requestId('r1'), 'served', 3);
  expect(targetOf('b1')).toEqual('t1');
  dispatcher.release(requestId('b1'), 'served', 4);
  expect(targetOf('q1')).toEqual('t1');
});

test('refuses at once what cannot be served, with the time to return', () => {
  const {dispatcher, results} = setUp([record('t1', {slots: 1})]);
  const SERVICE_MS = 100;
  let nowMs = 0;
  dispatcher.acquire(demand('r0'), nowMs);
  const queued = {inTimeMs: 60_000, maxWaitMs: 60_000};
  for (let i = 1; i <= 40; i += 1) {
    dispatcher.acquire(demand(`r${i}`, queued), nowMs);
  }
  // One run ends every 100 ms, so the 20 that then wait take two seconds.
  for (let i = 0; i < 20; i += 1) {
    nowMs += SERVICE_MS;
    dispatcher.release(requestId(`r${i}`), 'served', nowMs);
  }
  dispatcher.acquire(demand('hasty', {maxWaitMs: 1_000}), nowMs);
  const result = results.get('hasty');
  if (result?.kind !== 'refused') throw new Error('the demand is not refused');
  expect(result.reason).toEqual('crowded');
  expect(
    result.retryAfterMs! >= 1_500 && result.retryAfterMs! <= 2_500,
  ).toEqual(true);
  dispatcher.acquire(demand('patient', {maxWaitMs: 5_000}), nowMs);
  expect(results.has('patient')).toEqual(false);
});

test('demands wait in vain for targets that may get no more a second', () => {
  const limiter = limiterOf(['t1', 't2']);
  const targets = [record('t1', {slots: 99}), record('t2', {slots: 99})];
  const {dispatcher, results, targetOf} = setUp(targets, 0, limiter);
  const hasty = {maxWaitMs: 1_000};
  for (const name of ['r1', 'r2']) dispatcher.acquire(demand(name, hasty), 0);
  expect([targetOf('r1'), targetOf('r2')].sort()).toEqual(['t1', 't2']);
  // Four a second together: the fifth that waits would be served in 1.25 s.
  for (let i = 0; i < 5; i += 1) dispatcher.acquire(demand(`w${i}`, hasty), 0);
  dispatcher.acquire(demand('late', hasty), 0);
  expect(results.get('late')).toEqual({
    kind: 'refused',
    reason: 'crowded',
    retryAfterMs: 1_250,
  });
});

test('a limited target keeps others of its service from being used', () => {
  const limiter = limiterOf(['t1']);
  const targets = [record('t1', {slots: 99}), record('t2', {slots: 99})];
  const {dispatcher, targetOf} = setUp(targets, 0, limiter);
  for (let i = 0; i < 8; i += 1) dispatcher.acquire(demand(`r${i}`), 0);
  const granted = Array.from({length: 8}, (_, i) => targetOf(`r${i}`));
  expect(granted.filter(target => target === 't1').length).toEqual(1);
  expect(granted.filter(target => target === 't2').length).toEqual(7);
});

test('releases the runs of a lost daemon', () => {
  const {dispatcher, targetOf} = setUp([record('t1', {slots: 1})]);
  dispatcher.acquire(demand('r1'), 0);
  dispatcher.acquire(demand('r2', {entry: instanceId('e2')}), 0);
  dispatcher.releaseEntry(instanceId('e1'), 5);
  expect(targetOf('r2')).toEqual('t1');
});

test('drops the runs of an earlier incarnation of a target', () => {
  const {dispatcher, targetOf} = setUp([record('t1', {slots: 1})]);
  dispatcher.acquire(demand('r1'), 0);
  dispatcher.setTarget(record('t1', {slots: 1, bornMs: 2}), false, 5);
  dispatcher.acquire(demand('r2'), 6);
  expect(targetOf('r2')).toEqual('t1');
});

test('clears all runs and ignores a late release of one', () => {
  const {dispatcher, targetOf} = setUp([record('t1', {slots: 1})]);
  dispatcher.acquire(demand('r1'), 0);
  dispatcher.clearRuns();
  dispatcher.acquire(demand('r2'), 1);
  expect(targetOf('r2')).toEqual('t1');
  dispatcher.release(requestId('r1'), 'served', 2);
  dispatcher.acquire(demand('r3'), 3);
  expect(targetOf('r3')).toEqual(undefined);
});

test('avoids a target that cannot be reached', () => {
  const {dispatcher, targetOf} = setUp([record('t1'), record('t2')]);
  dispatcher.acquire(demand('r1'), 0);
  const bad = targetOf('r1');
  dispatcher.release(requestId('r1'), 'not_connected', 1);
  dispatcher.acquire(demand('r2'), 2);
  expect(targetOf('r2')).not.toEqual(bad);
});

test('never grants more runs per second than a cold target accepts', () => {
  const PER_S = 10;
  const {dispatcher, targetOf} = setUp(
    [record('t1', {slots: 1_000}, 60_000)],
    PER_S,
  );
  const grantedAtMs: number[] = [];
  for (let nowMs = 0; nowMs < 5_000; nowMs += 10) {
    const name = `r${nowMs}`;
    dispatcher.acquire(
      demand(name, {kvTokens: 0, patienceMs: 0, maxWaitMs: 0}),
      nowMs,
    );
    if (targetOf(name)) grantedAtMs.push(nowMs);
  }
  const most = Math.max(
    ...grantedAtMs.map(
      from => grantedAtMs.filter(at => at >= from && at < from + 1_000).length,
    ),
  );
  expect(most).toBeLessThanOrEqual(PER_S * 1.5 + 5);
  expect(grantedAtMs.length).toBeGreaterThanOrEqual(4 * PER_S);
});

test('never exceeds slots or KV cache for demands that can wait', () => {
  const step = fc.record({
    isRelease: fc.boolean(),
    kvTokens: fc.integer({min: 100, max: 6_000}),
    priority: fc.integer({min: 0, max: 2}),
  });
  fc.assert(
    fc.property(fc.array(step, {maxLength: 60}), steps => {
      const held = new Map<string, {target: string; kvTokens: number}>();
      const dispatcher = new Dispatcher({
        onResult: ({request, kvTokens}, result) => {
          if (result.kind !== 'granted') return;
          held.set(request, {target: result.target, kvTokens});
        },
        share: () => 1,
        random: () => 0,
      });
      dispatcher.configure(
        [{service: SERVICE, kvTokens: KV_TOKENS, coldRequestsPerS: 0}],
        new Set(),
      );
      dispatcher.setTarget(record('t1'), false, 0);
      dispatcher.setTarget(record('t2'), false, 0);
      steps.forEach(({isRelease, kvTokens, priority}, nowMs) => {
        const [oldest] = held.keys();
        if (isRelease && oldest !== undefined) {
          held.delete(oldest);
          dispatcher.release(requestId(oldest), 'served', nowMs);
        } else {
          dispatcher.acquire(demand(`r${nowMs}`, {kvTokens, priority}), nowMs);
        }
        for (const target of ['t1', 't2']) {
          const runs = [...held.values()].filter(run => run.target === target);
          const tokens = runs.reduce((sum, run) => sum + run.kvTokens, 0);
          expect(runs.length).toBeLessThanOrEqual(4);
          expect(tokens).toBeLessThanOrEqual(KV_TOKENS);
        }
      });
    }),
  );
});

test('grants no run on a target that was removed', () => {
  const {dispatcher, results} = setUp([record('t1')]);
  dispatcher.acquire(demand('r1'), 0);
  dispatcher.removeTarget(targetId('t1'));
  dispatcher.release(requestId('r1'), 'served', 1);
  dispatcher.acquire(demand('r2', {maxWaitMs: 0}), 2);
  expect(results.get('r2')).toEqual({
    kind: 'refused',
    reason: 'no_target',
    retryAfterMs: undefined,
  });
  expect(dispatcher.runCount).toEqual(0);
});

test('counts a run whose target becomes known later', () => {
  const {dispatcher, targetOf} = setUp([]);
  const run = {
    request: requestId('r1'),
    entry: instanceId('e1'),
    target: targetId('t1'),
    kvTokens: 1_000,
  };
  dispatcher.recordRun(run);
  dispatcher.setTarget(record('t1', {slots: 1}), false, 1);
  dispatcher.acquire(demand('r2'), 2);
  expect(targetOf('r2')).toEqual(undefined);
  dispatcher.release(run.request, 'served', 3);
  expect(targetOf('r2')).toEqual('t1');
});

test('releases the runs that their entry no longer reports', () => {
  const {dispatcher, targetOf} = setUp([record('t1', {slots: 2})]);
  const entry = instanceId('e1');
  dispatcher.acquire(demand('r1'), 0);
  dispatcher.acquire(demand('r2', {entry: instanceId('e2')}), 0);
  dispatcher.acquire(demand('r3', {entry: instanceId('e3')}), 1);
  expect(targetOf('r3')).toEqual(undefined);
  dispatcher.replaceRunsOf(entry, [], 2);
  expect(targetOf('r3')).toEqual('t1');
  const target = targetId('t1');
  const unknown = {request: requestId('r4'), entry, target, kvTokens: 1};
  dispatcher.replaceRunsOf(entry, [unknown], 3);
  expect(dispatcher.runCount).toEqual(3);
});

test('a new incarnation of a target starts without cold tokens and avoidance', () => {
  const PER_S = 10;
  const {dispatcher, targetOf} = setUp([record('t1', {}, 60_000)], PER_S);
  const hurried = {patienceMs: 0, maxWaitMs: 0, kvTokens: 0};
  dispatcher.acquire(demand('r1', hurried), 5_000);
  expect(targetOf('r1')).toEqual('t1');
  dispatcher.setTarget(record('t1', {bornMs: 2}, 60_000), false, 5_001);
  dispatcher.acquire(demand('r2', hurried), 5_001);
  expect(targetOf('r2')).toEqual(undefined);
  dispatcher.acquire(demand('r3', hurried), 5_102);
  expect(targetOf('r3')).toEqual('t1');
});

test('withdraws the pending demands of one entry', () => {
  const {dispatcher, targetOf} = setUp([record('t1', {slots: 1})]);
  dispatcher.acquire(demand('r1'), 0);
  dispatcher.acquire(demand('r2'), 0);
  dispatcher.acquire(demand('r3', {entry: instanceId('e2')}), 0);
  const withdrawn = dispatcher.withdrawPending(instanceId('e1'));
  expect(withdrawn.map(({request}) => request)).toEqual([requestId('r2')]);
  dispatcher.release(requestId('r1'), 'served', 1);
  expect(targetOf('r3')).toEqual('t1');
});

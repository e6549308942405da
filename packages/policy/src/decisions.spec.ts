/**
 * Tests event order, output lengths, queues, quarantine, retries, routing and
 * cache hints.
 */
import {expect} from 'earl';
import fc from 'fast-check';
import {test} from 'node:test';
import {
  fingerprint,
  type Fingerprint,
  generationId,
  requestId,
  targetId,
  workspaceId,
  zoneId,
} from '@samphirefield/core';
import {
  acceptEvent,
  chooseTarget,
  createRetryBudget,
  createCacheTable,
  createCandidateList,
  createLengthHistogram,
  createQuarantine,
  createQueue,
  createSequencer,
  decideAfterFailure,
  enqueue,
  expectedRemainingTokens,
  expireSuspects,
  headsInOrder,
  recordCacheEvents,
  ISOLATED_SUSPECT_THRESHOLDS,
  recordCrashes,
  requestSuspect,
  type QuarantineTable,
  recordLength,
  recordSuccess,
  removeRequest,
  spendRetry,
  dequeue,
  suspicionOf,
  targetsWithPrefix,
  type Candidate,
  type RoutedRequest,
  type FailedAttempt,
} from './index.js';

const GENERATION = generationId('g');

test('shuffled and duplicated events are returned once and in order', () => {
  const deliveries = fc.shuffledSubarray(
    Array.from({length: 60}, (_, index) => index % 30),
    {minLength: 60},
  );
  fc.assert(
    fc.property(deliveries, order => {
      const state = createSequencer<number>(undefined, 0);
      const delivered = order.flatMap(sequence => [
        ...acceptEvent(state, {
          generation: GENERATION,
          sequence,
          payload: sequence,
        })._unsafeUnwrap(),
      ]);
      expect(delivered).toEqual(Array.from({length: 30}, (_, index) => index));
    }),
    {seed: 5, numRuns: 200},
  );
});

test('an event of another generation is refused', () => {
  const state = createSequencer<string>(GENERATION, 0);
  const event = {generation: generationId('other'), sequence: 0, payload: 'x'};
  expect(acceptEvent(state, event)._unsafeUnwrapErr().kind).toEqual(
    'foreign_generation',
  );
});

test('an event too far ahead is refused instead of held in memory', () => {
  const state = createSequencer<string>(GENERATION, 0);
  const event = {generation: GENERATION, sequence: 5_000, payload: 'x'};
  expect(acceptEvent(state, event)._unsafeUnwrapErr().kind).toEqual(
    'window_exceeded',
  );
});

test('with a heavy tail, a longer output has more expected remaining tokens', () => {
  const histogram = createLengthHistogram();
  for (let index = 0; index < 900; index += 1) recordLength(histogram, 100);
  for (let index = 0; index < 100; index += 1) recordLength(histogram, 8_000);
  const atStart = expectedRemainingTokens(histogram, 0);
  expect(atStart > 700 && atStart < 1_100).toEqual(true);
  expect(expectedRemainingTokens(histogram, 200) > 6_000).toEqual(true);
  expect(expectedRemainingTokens(histogram, 50_000) > 0).toEqual(true);
});

function queueOf(...requests: Array<[string, string, number, number]>) {
  const queue = createQueue();
  for (const [id, workspace, priority, enqueuedAtMs] of requests) {
    enqueue(
      queue,
      {
        request: requestId(id),
        workspace: workspaceId(workspace),
        weight: 1,
        priority,
        costTokens: 100,
        enqueuedAtMs,
      },
      100,
      100,
    );
  }
  return queue;
}

test('a workspace with many requests does not delay another workspace', () => {
  const queue = queueOf(
    ['a1', 'a', 5, 0],
    ['a2', 'a', 5, 0],
    ['a3', 'a', 5, 0],
    ['b1', 'b', 5, 0],
  );
  const order: string[] = [];
  while (queue.size > 0) {
    const [head] = headsInOrder(queue, 0);
    dequeue(queue, head!);
    order.push(head!.request);
  }
  expect(order.indexOf('b1') < 2).toEqual(true);
});

test('a higher priority goes first, and waiting raises the priority', () => {
  const queue = queueOf(['low', 'a', 6, 0], ['high', 'b', 4, 5_900]);
  expect(headsInOrder(queue, 5_900)[0]!.request).toEqual(requestId('high'));
  expect(headsInOrder(queue, 6_100)[0]!.request).toEqual(requestId('low'));
});

test('queues are bounded, and a removed request leaves the queue', () => {
  const queue = queueOf(['a1', 'a', 5, 0]);
  const anotherRequest = {
    request: requestId('a2'),
    workspace: workspaceId('a'),
    weight: 1,
    priority: 5,
    costTokens: 1,
    enqueuedAtMs: 0,
  };
  expect(enqueue(queue, anotherRequest, 1, 9)._unsafeUnwrapErr().kind).toEqual(
    'queue_full',
  );
  expect(enqueue(queue, anotherRequest, 9, 1)._unsafeUnwrapErr().kind).toEqual(
    'workspace_queue_full',
  );
  expect(removeRequest(queue, workspaceId('a'), requestId('a1'))).toEqual(true);
  expect(queue.size).toEqual(0);
});

function recordCrash(
  table: QuarantineTable,
  crash: string,
  fingerprints: readonly Fingerprint[],
  nowMs: number,
) {
  const suspects = fingerprints.map(requestSuspect);
  recordCrashes(
    table,
    [{crash, suspects, failedTrials: [], wasAlone: false, isCertain: true}],
    nowMs,
  );
}

const POISON = fingerprint('poison');
const INNOCENT = fingerprint('innocent');

test('a request that crashes two targets is quarantined, concurrent requests are not', () => {
  const table = createQuarantine(ISOLATED_SUSPECT_THRESHOLDS);
  recordCrash(table, 't1/i', [POISON, INNOCENT], 0);
  expect(suspicionOf(table, INNOCENT)).toEqual('suspect');
  recordSuccess(table, INNOCENT);
  recordCrash(table, 't2/i', [POISON, fingerprint('third')], 10);
  expect(suspicionOf(table, POISON)).toEqual('quarantined');
  expect(suspicionOf(table, INNOCENT)).toEqual('clear');
  expect(suspicionOf(table, fingerprint('third'))).toEqual('suspect');
  expireSuspects(table, 1_000, 500);
  expect(suspicionOf(table, POISON)).toEqual('clear');
});

test('two suspects running in the same two crashes are distinguished by a third crash', () => {
  const table = createQuarantine(ISOLATED_SUSPECT_THRESHOLDS);
  recordCrash(table, 't1/i', [POISON, INNOCENT], 0);
  recordCrash(table, 't2/i', [POISON, INNOCENT], 0);
  expect(suspicionOf(table, POISON)).toEqual('suspect');
  recordCrash(table, 't3/i', [POISON], 0);
  expect(suspicionOf(table, POISON)).toEqual('quarantined');
  expect(suspicionOf(table, INNOCENT)).toEqual('suspect');
});

test('a crash that is reported twice counts once', () => {
  const table = createQuarantine(ISOLATED_SUSPECT_THRESHOLDS);
  recordCrash(table, 't1/i', [POISON], 0);
  recordCrash(table, 't1/i', [POISON], 0);
  expect(suspicionOf(table, POISON)).toEqual('suspect');
});

const LOST_ATTEMPT: FailedAttempt = {
  failure: 'lost',
  isEngine: true,
  mayRepeat: true,
  hasForwarded: false,
  hasGeneration: false,
  resumesLeft: 4,
  attemptsLeft: 2,
  hasBudget: true,
};
const decide = (change: Partial<FailedAttempt>) =>
  decideAfterFailure({...LOST_ATTEMPT, ...change}).kind;

test('a second generation starts only while nothing was sent to the caller', () => {
  expect(decide({})).toEqual('try_another');
  expect(decide({hasForwarded: true})).toEqual('answer_incomplete');
  expect(decide({hasForwarded: true, hasGeneration: true})).toEqual('resume');
  expect(
    decide({hasForwarded: true, hasGeneration: true, resumesLeft: 0}),
  ).toEqual('answer_incomplete');
});

test('a non-repeatable request is retried only if it certainly did not run', () => {
  const nonRepeatable = {isEngine: false, mayRepeat: false};
  expect(decide({...nonRepeatable, failure: 'lost'})).toEqual('answer_unknown');
  expect(decide({...nonRepeatable, failure: 'silent'})).toEqual(
    'answer_unknown',
  );
  expect(decide({...nonRepeatable, failure: 'not_sent'})).toEqual(
    'try_another',
  );
  expect(
    decide({...nonRepeatable, failure: 'refused', attemptsLeft: 0}),
  ).toEqual('answer_not_run');
});

test('a request that may have run is never reported as not run', () => {
  const attempts = fc.record({
    failure: fc.constantFrom(
      'lost',
      'silent',
      'failed',
      'broken_sequence',
    ) as fc.Arbitrary<FailedAttempt['failure']>,
    isEngine: fc.boolean(),
    mayRepeat: fc.boolean(),
    hasForwarded: fc.boolean(),
    hasGeneration: fc.boolean(),
    resumesLeft: fc.nat(2),
    attemptsLeft: fc.nat(2),
    hasBudget: fc.boolean(),
  });
  fc.assert(
    fc.property(attempts, item => {
      const {kind} = decideAfterFailure(item);
      expect(kind === 'answer_not_run').toEqual(false);
      if (!item.mayRepeat) expect(kind === 'try_another').toEqual(false);
      if (item.hasForwarded) expect(kind === 'try_another').toEqual(false);
    }),
    {seed: 9, numRuns: 500},
  );
});

test('the retry budget bounds the number of retries', () => {
  const budget = createRetryBudget();
  let spent = 0;
  while (spendRetry(budget)) spent += 1;
  expect(spent).toEqual(20);
});

function candidate(target: string, change: Partial<Candidate> = {}): Candidate {
  return {
    target: targetId(target),
    zone: zoneId('z'),
    isOutOfService: false,
    isDraining: false,
    avoidUntilMs: 0,
    freeSlots: 4,
    freeKvTokens: 1_000,
    load: 0.25,
    runsSuspect: false,
    ...change,
  };
}
const REQUEST: RoutedRequest = {
  kvNeedTokens: 500,
  prefix: '',
  cachedOn: undefined,
  isSuspect: false,
  excluded: new Set(),
};
const choose = (candidates: Candidate[], change: Partial<RoutedRequest> = {}) =>
  chooseTarget(createCandidateList(candidates), {...REQUEST, ...change}, 100);

test('a target without free capacity, out of service or draining is never chosen', () => {
  const decision = choose([
    candidate('a', {isOutOfService: true}),
    candidate('b', {isDraining: true}),
    candidate('c', {freeSlots: 0}),
    candidate('d', {freeKvTokens: 499}),
  ]);
  expect(decision).toEqual({
    kind: 'none',
    rejected: [
      {target: targetId('a'), reason: 'out_of_service'},
      {target: targetId('b'), reason: 'leaving'},
      {target: targetId('c'), reason: 'no_free_slot'},
      {target: targetId('d'), reason: 'no_free_memory'},
    ],
  });
});

test('a target that failed recently or was tried before is skipped', () => {
  const candidates = [
    candidate('failed', {avoidUntilMs: 101, load: 0}),
    candidate('tried', {load: 0}),
    candidate('other'),
  ];
  const decision = choose(candidates, {excluded: new Set([targetId('tried')])});
  expect(decision.kind === 'chosen' && decision.target).toEqual(
    targetId('other'),
  );
});

test('the least loaded target is chosen', () => {
  const decision = choose([
    candidate('full', {load: 0.9}),
    candidate('free', {load: 0.1}),
    candidate('busy', {load: 0.7}),
  ]);
  expect(decision.kind === 'chosen' && decision.target).toEqual(
    targetId('free'),
  );
});

test('a target with the cached prefix is chosen until its load is far above the mean', () => {
  const cached = {prefix: 'p', cachedOn: new Set([targetId('c')])};
  const others = [candidate('x'), candidate('y')];
  const lightlyLoaded = choose([...others, candidate('c')], cached);
  expect(lightlyLoaded.kind === 'chosen' && lightlyLoaded.reason).toEqual(
    'prefix_cached',
  );
  const crowded = choose([...others, candidate('c', {load: 1})], cached);
  expect(crowded.kind === 'chosen' && crowded.reason).toEqual('prefix_home');
  expect(crowded.kind === 'chosen' && crowded.target !== targetId('c')).toEqual(
    true,
  );
});

test('a prefix keeps its target when another target is removed', () => {
  const names = ['a', 'b', 'c', 'd', 'e'];
  const targetOf = (targets: string[], prefix: string) => {
    const decision = choose(
      targets.map(name => candidate(name)),
      {prefix},
    );
    return decision.kind === 'chosen' ? decision.target : undefined;
  };
  for (let index = 0; index < 50; index += 1) {
    const originalTarget = targetOf(names, `p${index}`);
    const otherNames = names.filter(name => targetId(name) !== originalTarget);
    const removed = otherNames[0]!;
    expect(
      targetOf(
        names.filter(name => name !== removed),
        `p${index}`,
      ),
    ).toEqual(originalTarget);
  }
});

test('a gap in the cache events clears the cached prefixes', () => {
  const table = createCacheTable();
  const target = targetId('t');
  recordCacheEvents(table, target, 0, [{kind: 'stored', prefix: 'a'}]);
  recordCacheEvents(table, target, 0, [
    {kind: 'stored', prefix: 'a'},
    {kind: 'stored', prefix: 'b'},
  ]);
  const holds = (prefix: string) =>
    targetsWithPrefix(table, prefix)?.has(target) ?? false;
  expect(holds('a') && holds('b')).toEqual(true);
  recordCacheEvents(table, target, 5, [{kind: 'stored', prefix: 'c'}]);
  expect(holds('a')).toEqual(false);
  expect(holds('c')).toEqual(true);
});

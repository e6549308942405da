/** What targets say of themselves in their responses. */
import {expect} from 'earl';
import type {IncomingHttpHeaders} from 'node:http';
import {test} from 'node:test';
import {instanceId, serviceId, targetId, zoneId} from '@samphirefield/core';
import type {HolderId, TargetView} from '@samphirefield/policy';
import {syncCandidate} from './candidates.js';
import {hearTarget, recordSending, type HeardHead} from './statements.js';
import {createEntryTables, type EntryTables} from './tables.js';

const TARGET = targetId('t');

function tablesWithTarget(allocatedSlots = 4): EntryTables {
  const tables = createEntryTables(
    'e' as HolderId,
    instanceId('e'),
    zoneId('a'),
  );
  const view = {
    target: TARGET,
    incarnation: 'first',
    service: serviceId('s'),
    zone: zoneId('a'),
    slots: 8,
    kvTokens: 0,
    kvUsedTokens: 0,
    running: 0,
    isLapsed: false,
    isLeaving: false,
  } as TargetView;
  tables.targets.set(TARGET, {
    view,
    startNumber: 1,
    allocatedSlots,
    allocatedKvTokens: 0,
    finishedRuns: 0,
    sentSinceView: 0,
    candidate: {
      target: TARGET,
      zone: zoneId('a'),
      isOutOfService: false,
      isDraining: false,
      avoidUntilMs: 0,
      freeSlots: 4,
      freeKvTokens: Infinity,
      load: 0,
      runsSuspect: false,
    },
  });
  return tables;
}

function hear(
  tables: EntryTables,
  headers: IncomingHttpHeaders,
  changed: Partial<Omit<HeardHead, 'headers'>> & {nowMs?: number} = {},
) {
  const {nowMs = 1_000, ...rest} = changed;
  const head: HeardHead = {
    target: TARGET,
    incarnation: 'first',
    status: 200,
    headers,
    sentAtMs: nowMs,
    ...rest,
  };
  const outcome = hearTarget(tables, head, nowMs);
  syncCandidate(tables, tables.targets.get(TARGET)!);
  return outcome;
}

const candidateOf = (tables: EntryTables) =>
  tables.targets.get(TARGET)!.candidate;

test('a target that says it leaves gets new requests', () => {
  const tables = tablesWithTarget();
  expect(hear(tables, {'x-samphirefield-leaving': '1'})).toEqual('changed');
  expect(candidateOf(tables).isDraining).toEqual(true);
  hear(tables, {}, {sentAtMs: 500, nowMs: 1_100});
  expect(candidateOf(tables).isDraining).toEqual(true);
  hear(tables, {}, {nowMs: 1_200});
  expect(candidateOf(tables).isDraining).toEqual(false);
});

test('a target that wants nothing for a while gets requests', () => {
  const tables = tablesWithTarget();
  hear(tables, {'retry-after': '2.5'}, {status: 503});
  expect(candidateOf(tables).avoidUntilMs).toEqual(3_500);
  hear(tables, {'retry-after': '9'}, {status: 200});
  expect(candidateOf(tables).avoidUntilMs).toEqual(3_500);
});

test('an entry sends more than its share of a stated limit', () => {
  const tables = tablesWithTarget(4);
  const row = tables.targets.get(TARGET)!;
  hear(tables, {'x-samphirefield-limit': '10'});
  let sent = 0;
  for (let nowMs = 1_000; nowMs < 5_000; nowMs += 10) {
    if (nowMs < row.candidate.avoidUntilMs) continue;
    recordSending(tables, row, nowMs);
    sent += 1;
  }
  // Half of the slots, so half of 40 in 4 s, and what is made up for.
  expect(sent >= 18 && sent <= 22).toEqual(true);
});

test('statements of another start, or that cannot be meant, change something', () => {
  const tables = tablesWithTarget();
  const leaving = {'x-samphirefield-leaving': '1'};
  expect(hear(tables, leaving, {incarnation: 'other'})).toEqual('unchanged');
  for (const value of ['-1', '1e300', 'many', ''])
    expect(hear(tables, {'x-samphirefield-limit': value})).toEqual('invalid');
  expect(candidateOf(tables).isDraining).toEqual(false);
  expect(candidateOf(tables).avoidUntilMs).toEqual(0);
});

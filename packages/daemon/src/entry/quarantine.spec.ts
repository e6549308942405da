/** The quarantine of an entry over changes of the leader. */
import {expect} from 'earl';
import {test} from 'node:test';
import {
  fingerprint,
  instanceId,
  requestId,
  serviceId,
  targetId,
  workspaceId,
  zoneId,
} from '@samphirefield/core';
import {
  createLeaderTables,
  handleReport,
  type AllocationTiming,
  type HolderId,
  type LeaderTables,
} from '@samphirefield/policy';
import {applyResponse, buildHeartbeat} from './heartbeat-messages.js';
import {
  effectiveSuspicion,
  recordRunSuccess,
  recordTargetCrash,
  requestSuspicion,
} from './suspects.js';
import {createEntryTables, type ActiveRun, type EntryTables} from './tables.js';

const POISON = fingerprint('poison');
const LEASE_MS = 3_000;
const NO_STATE = {outZones: new Set<never>(), outTargets: new Set<never>()};

const TIMING = {
  leaseMs: LEASE_MS,
  clockDriftMs: 50,
  quarantineMs: 60_000,
} as AllocationTiming;

const RUN: ActiveRun = {
  requestId: requestId('r'),
  workspace: workspaceId('w'),
  service: serviceId('s'),
  target: targetId('t'),
  incarnation: 'a',
  fingerprint: POISON,
  promptParts: [],
  isSuspect: false,
  promptTokens: 1,
  maxOutputTokens: 1,
  generatedTokens: 0,
  kvTokens: 1,
};

let sequence = 0;

function exchangeHeartbeat(
  tables: EntryTables,
  leader: LeaderTables,
  term: number,
): void {
  sequence += 1;
  const heartbeat = buildHeartbeat(tables, sequence, [], sequence);
  const {report} = heartbeat;
  const orders = handleReport(leader, report, NO_STATE, TIMING, sequence)!;
  applyResponse(
    tables,
    heartbeat,
    {
      kind: 'ok',
      leaderInstance: 'v',
      term,
      orders,
      news: {kind: 'none'},
      voters: [],
    },
    sequence,
    LEASE_MS,
  );
}

const entryTables = (name: string) =>
  createEntryTables(name as HolderId, instanceId(name), zoneId('a'));

test('a quarantined request reaches targets again after the leader changed', () => {
  const observer = entryTables('observer');
  const other = entryTables('other');
  const first = createLeaderTables(0, TIMING);
  observer.unreportedCrashes.push(
    {death: 't1/a', fingerprints: [POISON], prompts: []},
    {death: 't2/a', fingerprints: [POISON], prompts: []},
  );
  for (const tables of [observer, other]) exchangeHeartbeat(tables, first, 1);
  expect(effectiveSuspicion(other, POISON)).toEqual('quarantined');
  const second = createLeaderTables(0, TIMING);
  for (let i = 0; i < 4; i += 1) {
    exchangeHeartbeat(other, second, 2);
    expect(effectiveSuspicion(other, POISON)).toEqual('quarantined');
  }
  const restarted = entryTables('restarted');
  exchangeHeartbeat(restarted, second, 2);
  expect(effectiveSuspicion(restarted, POISON)).toEqual('quarantined');
});

test('new requests with one message in their prompts reach targets after three crashes', () => {
  const entries = ['e1', 'e2', 'e3'].map(entryTables);
  const leader = createLeaderTables(0, TIMING);
  const parts = [fingerprint('system'), POISON];
  const request = (name: string) => ({
    fingerprint: fingerprint(name),
    promptParts: parts,
  });
  for (const [i, tables] of entries.entries()) {
    exchangeHeartbeat(tables, leader, 1);
    recordRunSuccess(tables, [fingerprint('system')]);
    tables.activeRuns.set(requestId(`r${i}`), {
      ...RUN,
      requestId: requestId(`r${i}`),
      target: targetId(`t${i}`),
      fingerprint: fingerprint(`r${i}`),
      promptParts: parts,
    });
    expect(requestSuspicion(tables, request('new'))).toEqual('clear');
    recordTargetCrash(tables, targetId(`t${i}`), RUN.incarnation, sequence);
    exchangeHeartbeat(tables, leader, 1);
  }
  for (const tables of entries) {
    exchangeHeartbeat(tables, leader, 1);
    expect(requestSuspicion(tables, request('new'))).toEqual('quarantined');
    const sound = {
      fingerprint: fingerprint('sound'),
      promptParts: [fingerprint('system')],
    };
    expect(requestSuspicion(tables, sound)).toEqual('clear');
  }
});

/** The quarantine of an entry over changes of the leader. */
import {expect} from 'earl';
import {test} from 'node:test';
import {fingerprint, instanceId, zoneId} from '@samphirefield/core';
import {
  createLeaderTables,
  handleReport,
  type AllocationTiming,
  type HolderId,
  type LeaderTables,
} from '@samphirefield/policy';
import {applyResponse, buildHeartbeat} from './heartbeat-messages.js';
import {effectiveSuspicion} from './suspects.js';
import {createEntryTables, type EntryTables} from './tables.js';

const POISON = fingerprint('poison');
const LEASE_MS = 3_000;
const NO_STATE = {outZones: new Set<never>(), outTargets: new Set<never>()};

const TIMING = {
  leaseMs: LEASE_MS,
  clockDriftMs: 50,
  quarantineMs: 60_000,
} as AllocationTiming;

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
    {death: 't1/a', fingerprints: [POISON]},
    {death: 't2/a', fingerprints: [POISON]},
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

/** The table of targets for announcements in any order. */
import {expect} from 'earl';
import fc from 'fast-check';
import {test} from 'node:test';
import {serviceId, targetId, zoneId} from '@samphirefield/core';
import {versionId} from '@samphirefield/policy/rollouts';
import {removeExpired, markGone, mergeAnnouncement} from './logic.js';
import type {TargetAnnouncement, TargetRecord, TargetTable} from './types.js';

const base: TargetAnnouncement = {
  id: targetId('i-1'),
  bornMs: 1_000,
  sequence: 1,
  service: serviceId('advice'),
  host: '10.0.0.1',
  port: 80,
  zone: zoneId('a'),
  slots: 4,
  state: 'ready',
  coldLeftMs: 0,
};

const apply = (items: readonly TargetAnnouncement[]): TargetTable => {
  const table: TargetTable = new Map();
  for (const item of items) mergeAnnouncement(table, item, 0);
  return table;
};

test('adds a new target', () => {
  const table: TargetTable = new Map();
  expect(mergeAnnouncement(table, base, 0)).toEqual('changed');
  expect(mergeAnnouncement(table, {...base, sequence: 2}, 5)).toEqual(
    'renewed',
  );
  expect(table.get(base.id)?.lastSeenAtMs).toEqual(5);
});

test('drops a late announcement', () => {
  const table = apply([{...base, sequence: 5, state: 'draining'}]);
  const late = {...base, sequence: 4};
  expect(mergeAnnouncement(table, late, 0)).toEqual('stale');
  expect(table.get(base.id)?.announcement.state).toEqual('draining');
});

test('replaces a target by a new incarnation with the same id', () => {
  const table = apply([{...base, sequence: 90, state: 'draining'}]);
  const restarted = {...base, bornMs: 2_000, sequence: 1};
  expect(mergeAnnouncement(table, restarted, 0)).toEqual('changed');
  expect(table.get(base.id)?.announcement).toEqual(restarted);
});

test('keeps a target gone despite late announcements of its incarnation', () => {
  const table = apply([base]);
  markGone(table, base.id);
  const late = {...base, sequence: 50};
  expect(mergeAnnouncement(table, late, 0)).toEqual('stale');
  expect(table.get(base.id)?.announcement.state).toEqual('gone');
});

test('marks an older target at a reused address as gone', () => {
  const next = {
    ...base,
    id: targetId('i-2'),
    bornMs: 9_000,
    service: serviceId('desk'),
  };
  const table = apply([base, next]);
  expect(table.get(base.id)?.announcement.state).toEqual('gone');
  expect(table.get(next.id)?.announcement.state).toEqual('ready');
});

test('keeps the newer target when the older one is announced late', () => {
  const next = {...base, id: targetId('i-2'), bornMs: 9_000};
  const table = apply([next, base]);
  expect(table.get(next.id)?.announcement.state).toEqual('ready');
});

test('subtracts the age of an announcement that a peer received', () => {
  const table: TargetTable = new Map();
  mergeAnnouncement(table, {...base, coldLeftMs: 500}, 1_000, 300);
  expect(table.get(base.id)?.lastSeenAtMs).toEqual(700);
  expect(table.get(base.id)?.coldUntilMs).toEqual(1_200);
});

// Guards against entries that are not told of a version, since only changes are
// sent to them: an older daemon passed the announcement on without it.
test('a version that becomes known is a change', () => {
  const table = apply([base]);
  const named = {...base, sequence: 2, version: versionId('v2')};
  expect(mergeAnnouncement(table, named, 0)).toEqual('changed');
});

test('leads to the same table for every order of announcements', () => {
  const announcement = fc.record({
    bornMs: fc.integer({min: 1, max: 3}),
    sequence: fc.integer({min: 1, max: 6}),
    state: fc.constantFrom('ready' as const, 'draining' as const),
  });
  const unique = (items: readonly {bornMs: number; sequence: number}[]) =>
    new Set(items.map(item => `${item.bornMs} ${item.sequence}`)).size ===
    items.length;
  const lists = fc.array(announcement, {maxLength: 12}).filter(unique);
  fc.assert(
    fc.property(lists, fc.integer(), (items, seed) => {
      const all = items.map(item => ({...base, ...item}));
      const shuffled = [...all].sort(
        (a, b) =>
          ((a.sequence * 31 + a.bornMs) ^ seed) -
          ((b.sequence * 31 + b.bornMs) ^ seed),
      );
      expect([...apply(all).values()]).toEqual([...apply(shuffled).values()]);
    }),
  );
});

test('removes targets not seen for long, except those that may be alive', () => {
  const gone = {...base, id: targetId('i-2'), port: 81, state: 'gone'} as const;
  const table = apply([base, gone]);
  const isGone = (record: TargetRecord) => record.announcement.state === 'gone';
  expect(removeExpired(table, 500, 600, isGone)).toEqual([]);
  expect(removeExpired(table, 700, 600, isGone)).toEqual([gone.id]);
  expect([...table.keys()]).toEqual([base.id]);
  expect(removeExpired(table, 700, 600)).toEqual([base.id]);
});

test('an entry with the address of a target shuts the target out for good', () => {
  const table = apply([base]);
  const odd = {...base, id: targetId('i-odd'), bornMs: base.bornMs + 5};
  mergeAnnouncement(table, odd, 0);
  expect(table.get(base.id)?.announcement.state).toEqual('gone');
  // One late announcement of a target that crashed is no sign of life.
  mergeAnnouncement(table, {...base, sequence: 2}, 100);
  expect(table.get(base.id)?.announcement.state).toEqual('gone');
  for (let sequence = 3; sequence <= 8; sequence += 1)
    mergeAnnouncement(table, {...base, sequence}, sequence * 500);
  expect(table.get(base.id)?.announcement.state).toEqual('ready');
  mergeAnnouncement(table, {...odd, sequence: 2}, 5_000);
  expect(table.get(base.id)?.announcement.state).toEqual('ready');
});

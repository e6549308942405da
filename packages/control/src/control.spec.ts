/**
 * Tests the replicated state (configuration, command results, ledger) and
 * membership planning.
 */
import {expect} from 'earl';
import fc from 'fast-check';
import {test} from 'node:test';
import {
  claimId,
  commandId,
  fingerprint,
  revision,
  zoneId,
} from '@samphirefield/core';
import {
  applyControlCommand,
  applyDeltas,
  applyEdit,
  ControlStateMachine,
  createControlTables,
  deltasSince,
  diffRules,
  EMPTY_CONFIG,
  hashConfig,
  MAX_KEPT_RESULTS,
  planMembership,
  type ControlCommand,
  type LedgerResult,
  type LedgerBounds,
  type MemberView,
  type OperatorResult,
} from './index.js';

const BOUNDS: LedgerBounds = {
  maxRecords: 3,
  maxAnswerBytes: 20,
  retentionMs: 1_000,
};
const RESPONSE = {status: 200, contentType: 'text/plain', bodyBase64: 'b2s='};

function operator(
  id: string,
  base: number,
  zone: string,
  isOut = true,
): ControlCommand {
  return {
    kind: 'operator',
    commandId: commandId(id),
    baseRevision: revision(base),
    operator: 'tests',
    change: {kind: 'zone', zone: zoneId(zone), isOut},
    atMs: 0,
  };
}

const claim = (
  key: string,
  id: string,
  fingerprintText = 'f',
  atMs = 0,
): ControlCommand => ({
  kind: 'claim',
  key,
  claimId: claimId(id),
  fingerprint: fingerprint(fingerprintText),
  holder: `holder-of-${id}`,
  atMs,
  bounds: BOUNDS,
});
const complete = (
  key: string,
  id: string,
  atMs = 0,
  answer: typeof RESPONSE | undefined = RESPONSE,
): ControlCommand => ({
  kind: 'complete',
  key,
  claimId: claimId(id),
  answer,
  atMs,
  bounds: BOUNDS,
});
const release = (key: string, id: string): ControlCommand => ({
  kind: 'release',
  key,
  claimId: claimId(id),
  holder: 'h',
  atMs: 0,
});

test('of two commands from one revision the first wins, and resends change nothing', () => {
  const tables = createControlTables();
  const first = applyControlCommand(tables, operator('c1', 0, 'a'));
  const second = applyControlCommand(
    tables,
    operator('c2', 0, 'b'),
  ) as OperatorResult;
  expect(first.kind).toEqual('accepted');
  expect(second.kind).toEqual('conflict');
  expect(applyControlCommand(tables, operator('c1', 0, 'a'))).toEqual(first);
  expect(applyControlCommand(tables, operator('c2', 0, 'b'))).toEqual(second);
  expect(tables.config.outZones).toEqual([zoneId('a')]);
});

test('a resend changes nothing even after its result was dropped', () => {
  const tables = createControlTables();
  applyControlCommand(tables, operator('first', 0, 'a'));
  for (let index = 1; index <= MAX_KEPT_RESULTS; index += 1) {
    applyControlCommand(
      tables,
      operator(`c${index}`, index, 'b', index % 2 === 1),
    );
  }
  const before = tables.config;
  expect(applyControlCommand(tables, operator('first', 0, 'a')).kind).toEqual(
    'conflict',
  );
  expect(tables.config).toEqual(before);
});

test('deltas rebuild the configuration, and deltas with a gap are refused', () => {
  const tables = createControlTables();
  for (let index = 0; index < 40; index += 1) {
    const isOut = index % 6 < 3;
    applyControlCommand(
      tables,
      operator(`c${index}`, index, `z${index % 3}`, isOut),
    );
  }
  expect(tables.config.revision).toEqual(revision(40));
  const view = applyDeltas(EMPTY_CONFIG, deltasSince(tables, 0)!)!;
  expect(hashConfig(view)).toEqual(tables.configHash);
  expect(applyDeltas(EMPTY_CONFIG, deltasSince(tables, 3)!)).toEqual(undefined);
  expect(deltasSince(tables, 99)).toEqual(undefined);
});

test('a splice of lines turns any rules text into any other', () => {
  const text = fc
    .array(fc.constantFrom('a', 'b', '', 'c # x: y'))
    .map(lines => lines.join('\n'));
  fc.assert(
    fc.property(text, text, (before, after) => {
      const view = {...EMPTY_CONFIG, rulesText: before};
      expect(applyEdit(view, diffRules(before, after)).rulesText).toEqual(
        after,
      );
    }),
    {seed: 2, numRuns: 300},
  );
});

test('a claim is granted once, and repeats get its stored response', () => {
  const tables = createControlTables();
  expect(applyControlCommand(tables, claim('k', 'c1')).kind).toEqual('granted');
  expect(applyControlCommand(tables, claim('k', 'c1')).kind).toEqual('granted');
  expect(applyControlCommand(tables, claim('k', 'c2')).kind).toEqual(
    'in_progress',
  );
  applyControlCommand(tables, complete('k', 'c1'));
  expect(applyControlCommand(tables, claim('k', 'c2'))).toEqual({
    kind: 'done',
    answer: RESPONSE,
  });
  expect(applyControlCommand(tables, claim('k', 'c3', 'other')).kind).toEqual(
    'mismatch',
  );
});

test('a released claim frees the key, and a late copy of it is refused', () => {
  const tables = createControlTables();
  applyControlCommand(tables, release('k', 'c1'));
  expect(applyControlCommand(tables, claim('k', 'c1')).kind).toEqual(
    'released',
  );
  expect(applyControlCommand(tables, claim('k', 'c2')).kind).toEqual('granted');
  applyControlCommand(tables, release('k', 'c1'));
  expect(applyControlCommand(tables, claim('k', 'c3')).kind).toEqual(
    'in_progress',
  );
});

test('the claims of a holder that is gone are unknown, never free', () => {
  const tables = createControlTables();
  applyControlCommand(tables, claim('k', 'c1'));
  applyControlCommand(tables, {
    kind: 'abandon',
    holder: 'holder-of-c1',
    atMs: 0,
  });
  expect(applyControlCommand(tables, claim('k', 'c2')).kind).toEqual('unknown');
  expect(applyControlCommand(tables, release('k', 'c1')).kind).toEqual(
    'unknown',
  );
  applyControlCommand(tables, complete('k', 'c1'));
  expect(applyControlCommand(tables, claim('k', 'c2')).kind).toEqual('done');
});

test('the ledger is bounded in records, bytes and time', () => {
  const tables = createControlTables();
  for (const id of ['1', '2', '3']) {
    applyControlCommand(tables, claim(`k${id}`, id));
    applyControlCommand(
      tables,
      complete(`k${id}`, id, 0, {...RESPONSE, bodyBase64: 'x'.repeat(9)}),
    );
  }
  expect(applyControlCommand(tables, claim('k4', '4')).kind).toEqual('full');
  expect(applyControlCommand(tables, claim('k1', '5'))).toEqual({
    kind: 'done',
    answer: undefined,
  });
  expect(
    applyControlCommand(tables, claim('k4', '6', 'f', 1_001)).kind,
  ).toEqual('granted');
  expect(tables.ledger.records.size).toEqual(1);
});

test('no order of ledger commands runs one key twice', () => {
  const ids = ['c1', 'c2', 'c3'];
  const command = fc.tuple(
    fc.constantFrom('claim', 'complete', 'release', 'abandon'),
    fc.constantFrom(...ids),
  );
  fc.assert(
    fc.property(fc.array(command, {maxLength: 30}), commands => {
      const tables = createControlTables();
      const granted = new Set<string>();
      const released = new Set<string>();
      const held = new Set<string>();
      for (const [kind, id] of commands) {
        if (kind === 'claim') {
          const result = applyControlCommand(tables, claim('k', id));
          if (result.kind !== 'granted') continue;
          // A claim that was granted and never released blocks all others.
          const others = [...granted].filter(
            other => other !== id && !released.has(other),
          );
          expect(others).toEqual([]);
          expect(released.has(id)).toEqual(false);
          granted.add(id);
          held.add(id);
        } else if (kind === 'release') {
          const result = applyControlCommand(
            tables,
            release('k', id),
          ) as LedgerResult;
          const record = tables.ledger.records.get('k');
          if (result.kind === 'recorded' && record?.claimId === id)
            released.add(id);
        } else if (kind === 'complete')
          applyControlCommand(tables, complete('k', id));
        else
          applyControlCommand(tables, {
            kind: 'abandon',
            holder: `holder-of-${id}`,
            atMs: 0,
          });
      }
    }),
    {seed: 4, numRuns: 2_000},
  );
});

test('a snapshot restores every table', () => {
  const machine = new ControlStateMachine();
  machine.apply(JSON.stringify(operator('c1', 0, 'a')));
  machine.apply(JSON.stringify(claim('k', 'c1')));
  machine.apply(JSON.stringify(complete('k', 'c1')));
  machine.apply(JSON.stringify(claim('j', 'c2')));
  const copy = new ControlStateMachine();
  copy.restore(machine.snapshot());
  expect(copy.tables.config).toEqual(machine.tables.config);
  expect([...copy.tables.ledger.records]).toEqual([
    ...machine.tables.ledger.records,
  ]);
  expect(copy.tables.ledger.totalResponseBytes).toEqual(
    machine.tables.ledger.totalResponseBytes,
  );
  expect(copy.apply(JSON.stringify(operator('c1', 0, 'a'))).kind).toEqual(
    'accepted',
  );
  expect([...copy.tables.ledger.keysByHolder.keys()]).toEqual(['holder-of-c2']);
});

const GOAL = {
  voters: 3,
  preferredInstances: ['a', 'b', 'c'],
  replaceAfterMs: 60_000,
  maxLagEntries: 10,
};
const member = (
  replica: string,
  change: Partial<MemberView> = {},
): MemberView => ({
  replica,
  instance: replica.split('/')[0]!,
  zone: `zone-${replica[0]}`,
  role: 'voter',
  silentMs: 0,
  lagEntries: 0,
  ...change,
});
const candidate = (replica: string) => ({
  replica,
  instance: replica.split('/')[0]!,
  zone: `zone-${replica[0]}`,
});

test('a group whose voters are all healthy stays unchanged', () => {
  expect(
    planMembership(
      [member('a/1'), member('b/1'), member('c/1')],
      [candidate('d/1')],
      GOAL,
    ),
  ).toEqual(undefined);
});

test('a silent voter is removed only once its replacement has the complete log', () => {
  const membersWithLost = [
    member('a/1'),
    member('b/1'),
    member('c/1', {silentMs: 70_000}),
  ];
  expect(planMembership(membersWithLost, [candidate('d/1')], GOAL)).toEqual({
    kind: 'add_learner',
    replica: 'd/1',
  });
  const laggingLearner = member('d/1', {role: 'learner', lagEntries: 500});
  expect(
    planMembership([...membersWithLost, laggingLearner], [], GOAL),
  ).toEqual(undefined);
  const readyLearner = member('d/1', {role: 'learner'});
  expect(planMembership([...membersWithLost, readyLearner], [], GOAL)).toEqual({
    kind: 'remove',
    replica: 'c/1',
  });
  expect(
    planMembership(
      [membersWithLost[0]!, membersWithLost[1]!, readyLearner],
      [],
      GOAL,
    ),
  ).toEqual({
    kind: 'promote',
    replica: 'd/1',
  });
});

test('an instance that comes back with another disk replaces its old replica at once', () => {
  const group = [member('a/1'), member('b/1'), member('c/1')];
  expect(
    planMembership(group, [candidate('d/1'), candidate('c/2')], GOAL),
  ).toEqual({kind: 'add_learner', replica: 'c/2'});
  const readyLearner = member('c/2', {role: 'learner'});
  expect(planMembership([...group, readyLearner], [], GOAL)).toEqual({
    kind: 'remove',
    replica: 'c/1',
  });
});

// Guards against a group that two planned stops leave without a majority.
test('a voter that leaves is replaced while it still responds', () => {
  const leaver = member('c/1', {isLeaving: true});
  const group = [member('a/1'), member('b/1'), leaver];
  expect(planMembership(group, [candidate('d/1')], GOAL)).toEqual({
    kind: 'add_learner',
    replica: 'd/1',
  });
  const learner = member('d/1', {role: 'learner'});
  expect(planMembership([...group, learner], [], GOAL)).toEqual({
    kind: 'promote',
    replica: 'd/1',
  });
  expect(planMembership([...group, member('d/1')], [], GOAL)).toEqual({
    kind: 'remove',
    replica: 'c/1',
  });
});

test('a lost voter is removed before one that leaves', () => {
  const group = [
    member('a/1', {isLeaving: true}),
    member('b/1'),
    member('c/1', {silentMs: 70_000}),
    member('d/1', {role: 'learner'}),
  ];
  expect(planMembership(group, [], GOAL)).toEqual({
    kind: 'remove',
    replica: 'c/1',
  });
});

// Guards against a zone whose loss takes the majority, after replacements.
test('voters that share a zone are spread when a daemon of a free zone joins', () => {
  const group = [
    member('a/1', {zone: 'z1'}),
    member('b/1', {zone: 'z1', silentMs: 5}),
    member('c/1', {zone: 'z2'}),
  ];
  const free = {...candidate('d/1'), zone: 'z3'};
  expect(planMembership(group, [{...free, zone: 'z2'}], GOAL)).toEqual(
    undefined,
  );
  expect(planMembership(group, [free], GOAL)).toEqual({
    kind: 'add_learner',
    replica: 'd/1',
  });
  const learner = member('d/1', {role: 'learner', zone: 'z3'});
  expect(planMembership([...group, learner], [], GOAL)).toEqual({
    kind: 'promote',
    replica: 'd/1',
  });
  const promoted = member('d/1', {zone: 'z3'});
  expect(planMembership([...group, promoted], [], GOAL)).toEqual({
    kind: 'remove',
    replica: 'b/1',
  });
});

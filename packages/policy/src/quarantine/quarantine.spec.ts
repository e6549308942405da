/** Causes of crashes among requests and parts of prompts, without a network. */
import {expect} from 'earl';
import {test} from 'node:test';
import {
  fingerprint,
  serviceId,
  targetId,
  workspaceId,
  type Fingerprint,
} from '@samphirefield/core';
import {
  admit,
  assignIncident,
  beginTrial,
  createHealth,
  createIncidentLog,
  createQuarantine,
  createSolos,
  createTrials,
  createUnansweredRuns,
  crashIdOf,
  endSolos,
  findKnown,
  followQuarantine,
  msUntilTrial,
  nameCrash,
  noteUnanswered,
  recordAnswer,
  recordCrashes,
  recordSuccess,
  removeSuspects,
  restoreQuarantine,
  retractCrash,
  SHARED_TARGET_THRESHOLDS,
  suspicionOf,
  takeUnanswered,
  toQuarantineSnapshot,
  viewOf,
  wasHealthy,
  traitsOf,
  type QuarantineTable,
  type RequestContent,
  type Suspect,
} from './index.js';

/** The suspects of a request with these shared parts in its prompt. */
function request(
  name: string,
  parts: readonly string[],
  healthy: readonly string[] = [],
): Suspect[] {
  const toPart = (part: string, position: number): Suspect => ({
    fingerprint: fingerprint(part),
    kind: 'part',
    position,
    wasHealthy: healthy.includes(part),
  });
  const whole: Suspect = {
    fingerprint: fingerprint(name),
    kind: 'request',
    position: 0,
    wasHealthy: healthy.includes(name),
  };
  return [whole, ...parts.map(toPart)];
}

function crash(
  table: QuarantineTable,
  target: string,
  ...runs: ReadonlyArray<readonly Suspect[]>
): void {
  const evidence = {
    crash: target,
    suspects: runs.flat(),
    failedTrials: [],
    wasAlone: false,
    isCertain: true,
  };
  recordCrashes(table, [evidence], 0);
}

const refused = (table: QuarantineTable): readonly string[] =>
  [...table.quarantined.keys()].sort();

test('a part that three crashes share is refused, its companions are not', () => {
  const table = createQuarantine();
  crash(table, 't1', request('a', ['common', 'x', 'deadly']));
  recordSuccess(table, fingerprint('common'));
  crash(table, 't2', request('b', ['common', 'y', 'deadly']));
  expect(refused(table)).toEqual([]);
  crash(table, 't3', request('c', ['common', 'z', 'deadly']));
  expect(refused(table)).toEqual(['deadly']);
});

test('a part is told from the first part when no sound request is answered between the crashes', () => {
  const table = createQuarantine();
  for (const name of ['a', 'b', 'c', 'd']) {
    crash(table, name, request(name, ['common', 'deadly'], ['common']));
  }
  expect(refused(table)).toEqual(['deadly']);
});

test('a first part that crashes targets whatever follows it is refused', () => {
  const table = createQuarantine();
  for (const name of ['a', 'b', 'c']) {
    crash(table, name, request(name, ['deadly', `rest of ${name}`]));
  }
  expect(refused(table)).toEqual(['deadly']);
});

test('a part that was healthy until it crashed targets is refused after five crashes', () => {
  const table = createQuarantine();
  for (const name of ['a', 'b', 'c', 'd']) {
    crash(table, name, request(name, ['deadly'], ['deadly']));
    expect(refused(table)).toEqual([]);
  }
  crash(table, 'e', request('e', ['deadly'], ['deadly']));
  expect(refused(table)).toEqual(['deadly']);
});

test('two deadly parts at once are both refused', () => {
  const table = createQuarantine();
  for (const name of ['a', 'b', 'c']) {
    crash(table, `1${name}`, request(`1${name}`, ['common', 'first']));
    crash(table, `2${name}`, request(`2${name}`, ['common', 'second']));
    recordSuccess(table, fingerprint('common'));
  }
  expect(refused(table)).toEqual(['first', 'second']);
});

test('a request that is repeated is refused, and then the part that makes it deadly', () => {
  const table = createQuarantine();
  for (const target of ['t1', 't2', 't3']) {
    crash(table, target, request('same', ['deadly']));
  }
  expect(refused(table)).toEqual(['same']);
  crash(table, 't4', request('other', ['deadly']));
  expect(refused(table)).toEqual(['deadly', 'same']);
});

test('targets of one rack that fail together count once', () => {
  const table = createQuarantine();
  const reports = ['t1', 't2', 't3', 't4', 't5'].map(target => ({
    crash: target,
    suspects: request(target, ['rare']),
    failedTrials: [],
    wasAlone: false,
    isCertain: true,
  }));
  recordCrashes(table, reports, 0);
  expect(refused(table)).toEqual([]);
  expect(suspicionOf(table, fingerprint('rare'))).toEqual('suspect');
});

test('crashes without a cause in common refuse nothing', () => {
  const table = createQuarantine();
  for (let i = 0; i < 200; i += 1) {
    crash(table, `t${i}`, request(`r${i}`, ['common', `part ${i}`]));
    recordSuccess(table, fingerprint('common'));
  }
  expect(refused(table)).toEqual([]);
});

test('an answer releases a part that was refused by mistake', () => {
  const table = createQuarantine();
  for (const target of ['t1', 't2', 't3']) {
    crash(table, target, request(target, ['sound']));
  }
  expect(refused(table)).toEqual(['sound']);
  recordSuccess(table, fingerprint('sound'));
  expect(suspicionOf(table, fingerprint('sound'))).toEqual('clear');
});

test('the crashes that are kept are bounded', () => {
  const table = createQuarantine();
  for (let i = 0; i < 1_000; i += 1) {
    const parts = Array.from({length: 100}, (_, k) => `${i}/${k}`);
    crash(table, `t${i}`, request(`r${i}`, parts));
  }
  expect(table.crashes.size <= 128).toEqual(true);
  expect(viewOf(table).suspects.length <= 128 * 64).toEqual(true);
});

test('a snapshot restores what is refused and what the next crash proves', () => {
  const table = createQuarantine();
  for (const target of ['t1', 't2', 't3']) {
    crash(table, target, request(target, ['deadly']));
  }
  crash(table, 't4', request('d', ['next']));
  crash(table, 't5', request('e', ['next']));
  const text = JSON.stringify(toQuarantineSnapshot(table));
  const restored = restoreQuarantine(
    JSON.parse(text),
    SHARED_TARGET_THRESHOLDS,
    0,
  );
  expect(viewOf(restored)).toEqual(viewOf(table));
  crash(restored, 't6', request('f', ['next']));
  expect(refused(restored)).toEqual(['deadly', 'next']);
});

test('a quarantine ends by itself with one trial at a time, later after each failure', () => {
  const trials = createTrials();
  const suspect = fingerprint('deadly');
  const follow = (failedTrials: number, nowMs: number) =>
    followQuarantine(trials, [{fingerprint: suspect, failedTrials}], nowMs);
  follow(0, 0);
  const firstMs = msUntilTrial(trials, suspect, 0);
  expect(firstMs).toBeGreaterThan(0);
  expect(beginTrial(trials, suspect, firstMs - 1)).toEqual(false);
  expect(beginTrial(trials, suspect, firstMs)).toEqual(true);
  expect(beginTrial(trials, suspect, firstMs)).toEqual(false);
  follow(1, firstMs);
  expect(msUntilTrial(trials, suspect, firstMs)).toBeGreaterThan(firstMs);
});

test('a failed trial is counted once for each trial, other late crashes are not', () => {
  const table = createQuarantine();
  for (const target of ['t1', 't2', 't3', 't4']) {
    crash(table, target, request(target, ['deadly']));
  }
  const trial = {
    crash: 't5',
    suspects: request('e', ['deadly']),
    failedTrials: [fingerprint('deadly')],
    wasAlone: true,
    isCertain: true,
  };
  recordCrashes(table, [trial], 0);
  expect(viewOf(table).quarantined).toEqual([
    {fingerprint: fingerprint('deadly'), failedTrials: 1},
  ]);
});

test('a removed crash no longer proves a cause', () => {
  const table = createQuarantine();
  crash(table, 't1', request('a', ['rare']));
  crash(table, 't2', request('b', ['rare']));
  removeSuspects(table, ['t1', 't2'], []);
  crash(table, 't3', request('c', ['rare']));
  expect(refused(table)).toEqual([]);
});

test('health is remembered for a bounded number of fingerprints', () => {
  const health = createHealth();
  const nth = (i: number): Fingerprint => fingerprint(`part ${i}`);
  for (let i = 0; i < 10_000; i += 1) recordAnswer(health, nth(i), i);
  expect(health.size <= 4_096).toEqual(true);
  expect(wasHealthy(health, nth(9_999), 10_000)).toEqual(true);
  expect(wasHealthy(health, nth(1), 10_000)).toEqual(false);
});

test('crashes without a pause between them are more than one incident', () => {
  const log = createIncidentLog();
  const ends = Array.from({length: 20}, (_, i) => i * 100);
  const incidents = ends.map((atMs, i) => assignIncident(log, atMs, i + 1));
  expect(new Set(incidents).size).toEqual(7);
  expect(incidents.slice(0, 4)).toEqual([1, 1, 1, 4]);
  expect(assignIncident(log, 0, 99)).toEqual(1);
});

const alone = (target: string, suspects: Suspect[], wasAlone: boolean) => ({
  crash: target,
  suspects,
  failedTrials: [],
  wasAlone,
  isCertain: true,
});

test('copies that a failing rack takes prove nothing, one more crash does', () => {
  const table = createQuarantine();
  const copies = ['t1', 't2', 't3'].map(target =>
    alone(target, request('same', []), false),
  );
  recordCrashes(table, copies, 0);
  expect(refused(table)).toEqual([]);
  expect(viewOf(table).watched).toEqual([fingerprint('same')]);
  crash(table, 't4', request('same', []));
  expect(refused(table)).toEqual(['same']);
});

test('a watched request that crashed its target alone is no part of the incident before', () => {
  const table = createQuarantine();
  const suspects = request('same', []);
  const early = ['t1', 't2'].map(target => alone(target, suspects, false));
  recordCrashes(table, early, 0, 1);
  recordCrashes(table, [alone('t3', suspects, true)], 0, 2);
  expect(refused(table)).toEqual(['same']);
});

test('a request that was answered lately is refused after four crashes in three incidents', () => {
  const table = createQuarantine();
  const suspects = request('same', [], ['same']);
  recordCrashes(table, [alone('t1', suspects, false)], 0, 1);
  recordCrashes(table, [alone('t2', suspects, false)], 0, 1);
  expect(viewOf(table).watched).toEqual([]);
  crash(table, 't3', suspects);
  expect(viewOf(table).watched).toEqual([fingerprint('same')]);
  expect(refused(table)).toEqual([]);
  crash(table, 't4', suspects);
  expect(refused(table)).toEqual(['same']);
});

test('watched requests run one at a time, and one that is lost keeps others waiting for a bounded time', () => {
  const tables = {trials: createTrials(), solos: createSolos()};
  const service = serviceId('s');
  const known = (name: string) => ({
    quarantined: [],
    watched: [fingerprint(name)],
  });
  const ask = (name: string, nowMs: number) =>
    admit(tables, {service}, known(name), nowMs).kind;
  expect(ask('a', 0)).toEqual('solo');
  expect(ask('a', 1)).toEqual('busy');
  expect(ask('b', 1)).toEqual('busy');
  endSolos(tables.solos, [fingerprint('a')]);
  expect(ask('b', 2)).toEqual('solo');
  expect(ask('a', 60_000)).toEqual('solo');
  expect(
    admit(tables, {service}, {quarantined: [], watched: []}, 60_001).kind,
  ).toEqual('clear');
});

test('two requests that crash a target together are told apart when they run alone', () => {
  const table = createQuarantine();
  const both = [...request('deadly', []), ...request('rider', [])];
  for (const target of ['t1', 't2']) crash(table, target, both);
  const {watched} = findKnown(
    {fingerprints: both.map(s => s.fingerprint)},
    viewOf(table),
  );
  expect(watched.length).toEqual(2);
  recordSuccess(table, fingerprint('rider'));
  crash(table, 't3', request('deadly', []));
  expect(refused(table)).toEqual(['deadly']);
});

test('the suspects of a crowded target do not push out the guilty one', () => {
  const table = createQuarantine();
  for (const target of ['t1', 't2', 't3']) {
    const riders = Array.from({length: 100}, (_, i) =>
      request(`${target}/${i}`, []),
    );
    crash(table, target, [...riders.flat(), ...request('deadly', [])]);
  }
  expect(refused(table)).toEqual(['deadly']);
});

const content = (changed: Partial<RequestContent> = {}): RequestContent => ({
  service: serviceId('s'),
  method: 'GET',
  url: '/a',
  workspace: workspaceId('w'),
  bodyDigest: 'b',
  sharedPromptParts: [],
  ...changed,
});
const suspectsOf = (changed?: Partial<RequestContent>): Suspect[] =>
  traitsOf(content(changed), (...values) => values.join(' ')).map(trait => ({
    ...trait,
    wasHealthy: false,
  }));

test('a request that comes to another service and with another query each time is the same', () => {
  const table = createQuarantine();
  for (const name of ['a', 'b', 'c']) {
    const changed = {service: serviceId(name), url: `/a?try=${name}`};
    crash(table, name, suspectsOf(changed));
  }
  const next = suspectsOf({service: serviceId('d'), url: '/a?try=d'});
  const isRefused = (suspects: readonly Suspect[]) =>
    suspects.some(item => table.quarantined.has(item.fingerprint));
  expect(isRefused(next)).toEqual(true);
  const others: Array<Partial<RequestContent>> = [
    {workspace: workspaceId('other')},
    {method: 'POST'},
    {url: '/b'},
    {bodyDigest: 'other'},
  ];
  for (const changed of others)
    expect(isRefused(suspectsOf(changed))).toEqual(false);
});

test('a request that crashes the targets of one service only is refused there only', () => {
  const table = createQuarantine();
  for (const target of ['t1', 't2', 't3']) {
    crash(table, target, suspectsOf());
    for (const item of suspectsOf({service: serviceId('sound')}))
      recordSuccess(table, item.fingerprint);
  }
  expect(refused(table)).toEqual([suspectsOf()[0]!.fingerprint]);
});

test('a request that is refused at one service is refused everywhere after one more crash', () => {
  const table = createQuarantine();
  for (const target of ['t1', 't2', 't3']) crash(table, target, suspectsOf());
  const elsewhere = suspectsOf({service: serviceId('other')});
  crash(table, 't4', elsewhere);
  expect(table.quarantined.has(elsewhere[1]!.fingerprint)).toEqual(true);
});

test('a second crash under the same id without a start time is taken for the first', () => {
  const log = createIncidentLog();
  const start = {target: targetId('t'), bornMs: 0};
  const name = (atMs: number, incident: number) =>
    nameCrash(log, crashIdOf(start), atMs, incident);
  const first = name(0, 1);
  expect(name(300, 2)).toEqual(first);
  expect(name(5_000, 3)).not.toEqual(first);
  const known = crashIdOf({...start, bornMs: 7});
  expect(nameCrash(log, known, 5_000, 4)).toEqual(known);
});

test('a target that was only silent and comes back leaves its requests refused', () => {
  const table = createQuarantine();
  const suspects = request('same', []);
  for (const target of ['t1', 't2', 't3']) {
    const evidence = {...alone(target, suspects, false), isCertain: false};
    recordCrashes(table, [evidence], 0);
  }
  expect(refused(table)).toEqual(['same']);
  retractCrash(table, 't3');
  expect(refused(table)).toEqual([]);
  crash(table, 't2', suspects);
  retractCrash(table, 't2');
  expect(table.crashes.has('t2')).toEqual(true);
});

test('runs that nobody waited for are forgotten before their target is known to have crashed', () => {
  const table = createUnansweredRuns();
  const start = {target: targetId('t'), bornMs: 1};
  const run = {start, traits: suspectsOf(), trialOf: [], wasAlone: false};
  noteUnanswered(table, {...run, endedAtMs: 0});
  noteUnanswered(table, {...run, endedAtMs: 5_000});
  expect(takeUnanswered(table, {...start, bornMs: 2}, 6_000)).toEqual([]);
  expect(takeUnanswered(table, start, 6_000).length).toEqual(2);
  expect(takeUnanswered(table, start, 6_000)).toEqual([]);
  noteUnanswered(table, {...run, endedAtMs: 7_000});
  expect(takeUnanswered(table, start, 60_000)).toEqual([]);
  for (let i = 0; i < 5_000; i += 1)
    noteUnanswered(table, {...run, endedAtMs: 8_000});
  expect(table.runs.length <= 1_024).toEqual(true);
});

test('queries that one in many crashes do not lead to a refusal of the others', () => {
  const table = createQuarantine();
  for (let i = 0; i < 20; i += 1) {
    crash(table, `t${i}`, suspectsOf({url: '/a?item=deadly'}));
    const sound = suspectsOf({url: `/a?item=${i}`});
    for (const item of sound) recordSuccess(table, item.fingerprint);
  }
  expect(refused(table)).toEqual([
    suspectsOf({url: '/a?item=deadly'})[0]!.fingerprint,
  ]);
});

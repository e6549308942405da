/** Tests that the checks notice each planted violation. */
import {expect} from 'earl';
import {test} from 'node:test';
import {findViolations} from './checks.js';
import {drawSchedule} from './schedule.js';
import {eventText} from './streams.js';
import type {CallEnd, CallRecord, RunRecord, SoakRecords} from './types.js';

const BOUNDS = {
  contactMs: 3_000,
  graceMs: 8_000,
  lossSlackMs: 200,
  configMs: 2_000,
  recoverMs: 12_000,
  drainMs: 2_000,
};
const CONFIGS = [1, 2].map(version => ({
  version,
  text: `${version}`,
  plainService: `desk-${version}`,
  spareRoutes: version,
  acceptedAtMs: version,
}));
const READS = [{sentAtMs: 9_000, isFinal: true, text: '2'}];

const run = (changed: Partial<RunRecord> = {}): RunRecord => ({
  attempt: 'a1',
  target: 't1',
  service: 'desk-2',
  signature: 's1',
  requestBody: 'b',
  startedAtMs: 10,
  answer: {status: 200, body: 'done'},
  end: 'whole',
  endedAtMs: 20,
  ...changed,
});
const answered = (
  changed: Partial<Extract<CallEnd, {kind: 'answered'}>>,
): CallEnd => ({
  kind: 'answered',
  status: 200,
  signature: 's1',
  attempt: 'a1',
  body: 'done',
  isComplete: true,
  ...changed,
});
const call = (changed: Partial<CallRecord> = {}): CallRecord => ({
  attempt: 'a1',
  requestKind: 'unsafe',
  entry: 0,
  body: 'b',
  deadlineMs: 2_500,
  sentAtMs: 0,
  endedAtMs: 30,
  hasLeft: false,
  end: answered({}),
  ...changed,
});
const stream = (ids: readonly number[], changed = {}) =>
  call({
    requestKind: 'stream',
    end: answered({
      body: ids.map(id => eventText('s1', id, 3)).join(''),
      ...changed,
    }),
  });
const cut = (changed: Partial<CallRecord> = {}) =>
  call({end: {kind: 'closed', isReset: false, isConnected: true}, ...changed});
const stop = (entry: number) => ({
  name: 'stop',
  kind: 'stop_entry',
  isPlanned: true,
  entry,
  disrupted: [entry],
  cutOff: [] as number[],
  fromMs: 5,
  untilMs: 3_000,
});
const crash = {...stop(1), isPlanned: false, entry: undefined};

const promisesOf = (changed: Partial<SoakRecords>) =>
  findViolations(
    {
      calls: [call()],
      runs: [run()],
      configs: CONFIGS,
      reads: READS,
      faults: [],
      recovery: {served: 1, calls: 4},
      ownEnds: [],
      ...changed,
    },
    Number,
    BOUNDS,
  ).map(({promise}) => promise);
const promisesOfCall = (record: CallRecord, runs = [run()]) =>
  promisesOf({calls: [record], runs});

test('a sound soak is reported as a violation', () => {
  expect(promisesOf({})).toEqual([]);
  expect(promisesOfCall(stream([1, 2, 3]))).toEqual([]);
  expect(promisesOfCall(stream([1, 2], {isComplete: false}))).toEqual([]);
  expect(
    promisesOfCall(call({requestKind: 'safe'}), [
      run(),
      run({signature: 's2'}),
    ]),
  ).toEqual([]);
});

test('a stream that misses, repeats or joins events, or ends early, is missed', () => {
  const foreign = eventText('s2', 3, 3);
  const early = stream([1, 2]);
  const odd = [
    early,
    stream([1, 3]),
    stream([1, 2, 2, 3]),
    stream([1, 2, 3], {body: `${eventText('s1', 1, 3)}id: 2\nda`}),
  ];
  for (const record of odd)
    expect(promisesOfCall(record)).toEqual(['events_in_order']);
  const joined = eventText('s1', 1, 3) + eventText('s1', 2, 3) + foreign;
  const found = promisesOfCall(stream([], {body: joined}));
  expect(found).toEqual(['own_response', 'events_in_order']);
});

test('a request that runs twice, or after a promise that it did not, is missed', () => {
  const twice = [run(), run({signature: 's2'})];
  expect(promisesOfCall(call(), twice)).toEqual(['runs_once']);
  for (const status of [408, 421, 429, 503]) {
    const refused = call({end: answered({status, signature: undefined})});
    expect(promisesOfCall(refused)).toEqual(['refused_never_runs']);
  }
});

test('a response that no run of its request has given is missed', () => {
  const foreign = [
    {signature: 's9'},
    {signature: undefined},
    {attempt: 'a2'},
    {body: 'other'},
    {body: 'don'},
    {status: 500},
    {status: 0},
  ];
  for (const changed of foreign) {
    const record = call({end: answered(changed)});
    expect(promisesOfCall(record)).toEqual(['own_response']);
  }
  const odd = [run({answer: undefined})];
  expect(promisesOfCall(call(), odd)).toEqual(['own_response']);
  const malformed = call({end: {kind: 'malformed', reason: 'HPE_X'}});
  expect(promisesOfCall(malformed)).toEqual(['own_response']);
});

test('a request that nobody sent, or that was changed, is missed', () => {
  const unasked = run({attempt: 'a7'});
  expect(promisesOf({runs: [run(), unasked]})).toEqual(['nothing_unasked']);
  const changed = [run({requestBody: 'c'})];
  expect(promisesOfCall(call(), changed)).toEqual(['nothing_unasked']);
});

test('a request that planned work cuts is missed, or one beside a fault counts', () => {
  const promise = ['planned_work_cuts_nothing' as const];
  const play = (
    record: CallRecord,
    faults: SoakRecords['faults'],
    runs = [run()],
  ) => promisesOf({calls: [record], faults, runs});
  expect(play(cut(), [stop(0)])).toEqual(promise);
  expect(play(cut({endedAtMs: 300}), [stop(0)], [])).toEqual(promise);
  expect(play(cut(), [{...stop(0), kind: 'reload', untilMs: 5}])).toEqual(
    promise,
  );
  expect(play(cut(), [stop(0)], [])).toEqual([]);
  expect(play(cut(), [stop(1)])).toEqual([]);
  expect(play(cut(), [stop(0), crash])).toEqual([]);
  expect(play(cut(), [stop(0)], [run({end: 'target'})])).toEqual([]);
  const late = [run({endedAtMs: 7_000})];
  expect(play(cut(), [stop(0)], late)).toEqual([]);
  const reload = {...stop(0), kind: 'reload', untilMs: 5};
  expect(play(cut(), [reload, stop(0)], late)).toEqual([]);
  const calm = [1, 2, 3, 4].map(i => cut({attempt: `a${i}`}));
  const runs = calm.map(({attempt}) => run({attempt}));
  expect(promisesOf({calls: calm, runs})).toEqual(promise);
});

test('a configuration that reverts, changes or is lost is missed', () => {
  const read = (text: string | undefined, isFinal: boolean) => ({
    sentAtMs: 9_000,
    isFinal,
    text,
  });
  const promise = ['config_stays' as const];
  expect(promisesOf({reads: [read('1', false), ...READS]})).toEqual(promise);
  expect(promisesOf({reads: [read('2.0', true)]})).toEqual(promise);
  expect(promisesOf({reads: [read(undefined, true)]})).toEqual(promise);
});

test('a call that an older configuration handles in time is missed', () => {
  const promise = ['config_in_force' as const];
  const late = {sentAtMs: 2_003, endedAtMs: 2_030};
  const old = [run({service: 'desk-1'})];
  const play = (
    record: CallRecord,
    runs: RunRecord[],
    faults: SoakRecords['faults'] = [],
  ) => promisesOf({calls: [record], runs, faults});
  expect(play(call(late), old)).toEqual(promise);
  expect(play(call(late), [run()])).toEqual([]);
  expect(play(call({...late, sentAtMs: 2_002}), old)).toEqual([]);
  const notFound = answered({status: 404, signature: undefined});
  expect(play(call({...late, end: notFound}), [])).toEqual(promise);
  const spare = {...late, end: notFound};
  expect(play(call({...spare, spareRoute: 1}), [])).toEqual(promise);
  expect(play(call({...spare, spareRoute: 2}), [])).toEqual([]);
  expect(play(call(late), old, [{...crash, disrupted: [0]}])).toEqual([]);
  expect(play(call(late), old, [stop(0)])).toEqual(promise);
});

test('a system that does not recover, or a process that ends, is missed', () => {
  const recovery = {served: 0, calls: 4};
  expect(promisesOf({recovery})).toEqual(['recovers']);
  expect(promisesOf({ownEnds: ['entry-0']})).toEqual(['no_own_end']);
});

test('entries that serve no caller while they are cut off are missed', () => {
  const cutOff = {
    ...crash,
    kind: 'cut_off',
    disrupted: [0, 1],
    cutOff: [0, 1],
    fromMs: 1_000,
    untilMs: 9_000,
  };
  const calls = (entry: number, served: number, failed: number, atMs = 4_000) =>
    Array.from({length: served + failed}, (_, i) =>
      call({
        attempt: `a${entry}-${i}`,
        entry,
        sentAtMs: atMs,
        endedAtMs: atMs + 100,
        end: answered({
          attempt: `a${entry}-${i}`,
          status: i < served ? 200 : 503,
          signature: i < served ? `s${entry}-${i}` : undefined,
        }),
      }),
    );
  const play = (atCut: CallRecord[], faults: SoakRecords['faults'] = []) => {
    const all = [...atCut, ...calls(2, 30, 0)];
    const served = all.filter(({end}) => 'status' in end && end.status === 200);
    const runs = served.map(({attempt}) =>
      run({attempt, signature: attempt.replace('a', 's')}),
    );
    return promisesOf({calls: all, runs, faults: [cutOff, ...faults]});
  };
  expect(play(calls(0, 19, 12))).toEqual(['cut_off_is_served']);
  expect(play(calls(0, 0, 12))).toEqual(['cut_off_is_served']);
  // As often as two thirds, few calls, or before the contact time.
  expect(play(calls(0, 24, 12))).toEqual([]);
  expect(play(calls(0, 0, 10))).toEqual([]);
  expect(play(calls(0, 0, 40, 3_999))).toEqual([]);
  // Another fault at the entry itself, or at the only one that reaches targets.
  const crashOf = (entry: number) => ({...crash, disrupted: [entry]});
  expect(play(calls(0, 0, 40), [crashOf(1)])).toEqual(['cut_off_is_served']);
  expect(play(calls(0, 0, 40), [crashOf(0)])).toEqual([]);
  expect(play(calls(0, 0, 40), [crashOf(2)])).toEqual([]);
});

test('a seed draws another schedule the second time', () => {
  const shape = {entries: 3, controls: 3, zones: 3, targets: 9};
  const schedule = () => drawSchedule(7, 20_000, shape);
  expect(schedule()).toEqual(schedule());
  expect(schedule().length > 10).toEqual(true);
});

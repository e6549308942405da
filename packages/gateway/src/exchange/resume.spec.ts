/** Streams that run again on another target, with targets that fail midway. */
import {expect} from 'earl';
import {setTimeout as delay} from 'node:timers/promises';
import {test, type TestContext} from 'node:test';
import type {KvCacheMover} from '../moves/index.js';
import {
  call,
  startTestGateway,
  type TestGatewayOptions,
} from '../testing/gateway.js';
import {
  completeResponse,
  startScriptedTarget,
  type ReceivedRequest,
} from '../testing/scripted-target.js';
import {
  chunk,
  event,
  events,
  STREAM_END,
  streamHead,
  unsignedStreamHead,
  wholeStream,
} from '../testing/streams.js';

type Script = (request: ReceivedRequest) => void;
type Options = Omit<TestGatewayOptions, 'targets' | 'kind'>;

async function setUp(
  t: TestContext,
  scripts: readonly Script[],
  options: Options = {},
) {
  const targets = await Promise.all(scripts.map(startScriptedTarget));
  const route = {isResumable: true, maxRuns: 3, ...options.route};
  const gateway = await startTestGateway({
    ...options,
    kind: 'stream',
    route,
    targets,
  });
  t.after(() => {
    gateway.close();
    for (const target of targets) target.close();
  });
  const runs = () => targets.map(target => target.received.length);
  const lastIds = () =>
    targets
      .flatMap(target => target.received)
      .map(({head}) => /^last: (.*)$/im.exec(head)?.[1]);
  return {targets, gateway, runs, lastIds};
}

const send =
  (text: string): Script =>
  ({socket}) =>
    socket.write(text);
const sendAndDie =
  (text: string): Script =>
  ({socket}) =>
    socket.end(text);
const die: Script = ({socket}) => socket.destroy();
const whole = (from: number, to: number) => send(wholeStream(from, to));
const signedHead = streamHead();
const rejected = completeResponse(
  '',
  ['Not-Run: 1', 'Attempt: a1'],
  '503 Busy',
);

test('cuts a resumable stream whose target dies inside an event', async t => {
  const head = streamHead('Own: first');
  const {gateway, lastIds} = await setUp(t, [
    sendAndDie(head + chunk(events(1, 2) + 'id: 3\nda')),
    sendAndDie(signedHead + chunk(events(3, 4) + 'id')),
    whole(5, 6),
  ]);
  const response = await call(gateway.port);
  expect(response.body).toEqual(events(1, 6));
  expect(response.isComplete).toEqual(true);
  expect(response.headers['own']).toEqual('first');
  expect(lastIds()).toEqual([undefined, '2', '4']);
  expect(gateway.heldRunCount()).toEqual(0);
});

test('cuts a resumable stream whose target sent a gap or no whole event at its end', async t => {
  for (const body of [event(1) + event(3), event(1) + 'id: 2\nda']) {
    const {gateway} = await setUp(t, [
      send(signedHead + chunk(body) + STREAM_END),
      whole(2, 3),
    ]);
    const response = await call(gateway.port);
    expect(response.body).toEqual(events(1, 3));
    expect(response.isComplete).toEqual(true);
  }
});

test('loses a resumable stream whose target dies before its first event', async t => {
  const {gateway, lastIds} = await setUp(t, [
    die,
    sendAndDie(signedHead),
    whole(1, 3),
  ]);
  const response = await call(gateway.port);
  expect(response.body).toEqual(events(1, 3));
  expect(lastIds()).toEqual([undefined, undefined, undefined]);
});

test('runs a stream again whose route is not resumable', async t => {
  const {gateway, runs, lastIds} = await setUp(
    t,
    [sendAndDie(signedHead + chunk(event(8))), whole(9, 9)],
    {route: {isResumable: false}},
  );
  const headers = {'last-event-id': '7'};
  const response = await call(gateway.port, {headers});
  expect(response.isComplete).toEqual(false);
  expect(runs()).toEqual([1, 0]);
  expect(lastIds()).toEqual([undefined]);
});

test('sends events that the caller has, or loses its place in the stream', async t => {
  const {gateway, lastIds} = await setUp(t, [
    die,
    sendAndDie(signedHead + chunk(events(6, 9))),
    whole(10, 11),
  ]);
  const headers = {'last-event-id': '7'};
  const response = await call(gateway.port, {headers});
  expect(response.body).toEqual(events(8, 11));
  expect(lastIds()).toEqual(['7', '7', '9']);
});

test('runs a stream more often than its route or the budget allows', async t => {
  const dieAfter = (id: number) => sendAndDie(signedHead + chunk(event(id)));
  for (const options of [{route: {maxRuns: 2}}, {retries: 1}]) {
    const scripts = [dieAfter(1), dieAfter(2), whole(3, 3)];
    const {gateway, runs} = await setUp(t, scripts, options);
    const response = await call(gateway.port);
    expect(response.body).toEqual(events(1, 2));
    expect(response.isComplete).toEqual(false);
    expect(runs()).toEqual([1, 1, 0]);
    expect(gateway.heldRunCount()).toEqual(0);
  }
});

test('counts a rejection by the next target as a run', async t => {
  const {gateway, runs} = await setUp(
    t,
    [sendAndDie(signedHead + chunk(event(1))), send(rejected), whole(2, 3)],
    {route: {maxRuns: 2}},
  );
  const response = await call(gateway.port);
  expect(response.body).toEqual(events(1, 3));
  expect(runs()).toEqual([1, 1, 1]);
});

test('cuts a stream whose earlier events took many attempts', async t => {
  const busy = send(rejected);
  const {gateway, runs} = await setUp(t, [
    busy,
    sendAndDie(signedHead + chunk(event(1))),
    busy,
    busy,
    whole(2, 3),
  ]);
  const response = await call(gateway.port);
  expect(response.body).toEqual(events(1, 3));
  expect(runs()).toEqual([1, 1, 1, 1, 1]);
});

test('forwards a head or a failure of the next target into the stream', async t => {
  const failures = [
    unsignedStreamHead() + chunk(event(2)) + STREAM_END,
    completeResponse('broken', [], '500 Failed'),
    completeResponse('missing', [], '404 Missing'),
    completeResponse('', ['Not-Run: 1'], '503 Busy'),
  ];
  for (const failure of failures) {
    const {gateway, runs} = await setUp(
      t,
      [sendAndDie(signedHead + chunk(event(1))), send(failure), whole(2, 3)],
      {route: {maxRuns: 2}},
    );
    const response = await call(gateway.port);
    expect(response.body).toEqual(event(1));
    expect(response.isComplete).toEqual(false);
    expect(runs()).toEqual([1, 1, 0]);
  }
});

test('says not run of a stream that may have run', async t => {
  for (const scripts of [[die], [die, send(rejected)]]) {
    const {gateway} = await setUp(t, scripts);
    expect((await call(gateway.port)).status).toEqual(502);
  }
  const {gateway} = await setUp(t, [send(rejected)]);
  expect((await call(gateway.port)).status).toEqual(503);
});

test('runs a stream again that cannot reach its deadline any more', async t => {
  const {gateway, runs} = await setUp(t, [
    ({socket}) => {
      setTimeout(() => socket.write(streamHead() + chunk(event(1))), 400);
      setTimeout(() => socket.destroy(), 500);
    },
    whole(2, 3),
  ]);
  const headers = {'deadline-ms': '600'};
  const response = await call(gateway.port, {headers});
  expect(response.isComplete).toEqual(false);
  expect(runs()).toEqual([1, 0]);
});

test('leaves a started stream open when no target is left', async t => {
  const {gateway} = await setUp(t, [sendAndDie(signedHead + chunk(event(1)))]);
  const response = await call(gateway.port);
  expect(response.body).toEqual(event(1));
  expect(response.isComplete).toEqual(false);
});

test('continues a stream after an event without a number', async t => {
  const text = event(1) + 'data: end\n\n';
  const {gateway, runs} = await setUp(t, [
    sendAndDie(signedHead + chunk(text)),
    whole(2, 3),
  ]);
  const response = await call(gateway.port);
  expect(response.body).toEqual(text);
  expect(runs()).toEqual([1, 0]);
});

test('resumes a stream for a caller that has left', async t => {
  const {gateway, runs} = await setUp(t, [
    ({socket}) => {
      socket.write(signedHead + chunk(event(1)));
      setTimeout(() => socket.destroy(), 60);
    },
    whole(2, 3),
  ]);
  await call(gateway.port, {onData: (_text, disconnect) => disconnect()}).catch(
    () => undefined,
  );
  await delay(150);
  expect(runs()).toEqual([1, 0]);
  expect(gateway.heldRunCount()).toEqual(0);
});

test('runs a stream again whose KV cache can be recovered', async t => {
  const mover: KvCacheMover = {
    copy: () => Promise.resolve({kind: 'copied', handle: 'h1'}),
    drop: () => undefined,
  };
  const {targets, gateway, runs} = await setUp(
    t,
    [sendAndDie(signedHead + chunk(event(1))), whole(2, 3)],
    {mover},
  );
  const response = await call(gateway.port);
  expect(response.body).toEqual(events(1, 3));
  expect(runs()).toEqual([1, 1]);
  expect(targets[1]!.received[0]!.head.includes('Resume: h1')).toEqual(true);
});

test('cuts a stream whose recovered run its next target loses', async t => {
  const mover: KvCacheMover = {
    copy: source =>
      Promise.resolve(
        source.port === targets[0]!.port
          ? {kind: 'copied', handle: 'h1'}
          : {kind: 'unreachable', reason: 'gone'},
      ),
    drop: () => undefined,
  };
  const {targets, gateway, lastIds} = await setUp(
    t,
    [sendAndDie(signedHead + chunk(event(1))), send(rejected), whole(2, 3)],
    {mover},
  );
  const response = await call(gateway.port);
  expect(response.body).toEqual(events(1, 3));
  expect(lastIds()).toEqual([undefined, '1', '1']);
});

/** Resumable streams whose targets leave or stall while no move is possible. */
import {expect} from 'earl';
import {request} from 'node:http';
import {test, type TestContext} from 'node:test';
import type {KvCacheMover} from '../moves/index.js';
import {startTestGateway} from '../testing/gateway.js';
import {startScriptedTarget} from '../testing/scripted-target.js';
import {
  chunk,
  event,
  events,
  playStream,
  send,
  sendWhole,
  STREAM_END,
  streamHead,
  type Script,
  type StreamPlay,
} from '../testing/streams.js';

/** Longer than the silence after which a target has stalled. */
const CALLER_PAUSE_MS = 4_000;
const UNREACHABLE: KvCacheMover = {
  copy: () => Promise.resolve({kind: 'unreachable', reason: 'no link'}),
  drop: () => undefined,
};

/** Sends one event, and a second one that ends the stream after `ms`. */
const endsAfter =
  (ms: number): Script =>
  ({socket}) => {
    socket.write(streamHead() + chunk(event(1)));
    setTimeout(() => socket.write(chunk(event(2)) + STREAM_END), ms);
  };
const neverEnds = send(streamHead() + chunk(event(1)));
const leavesAtOnce = () => {
  let hasLeft = false;
  return (leave: () => void) => {
    if (!hasLeft) leave();
    hasLeft = true;
  };
};

test('waits for the end of a target that leaves and cannot hand over its runs', async t => {
  for (const options of [{mover: UNREACHABLE}, {canMove: false}]) {
    const scripts = [neverEnds, sendWhole(2, 3)];
    const onData = leavesAtOnce();
    const played = await playStream(t, {...options, scripts, onData});
    expect(played.body).toEqual(events(1, 3));
    expect(played.isComplete).toEqual(true);
    expect(played.held).toEqual(0);
  }
});

test('breaks off a stream that ends in time or cannot run elsewhere', async t => {
  const scripts = [endsAfter(900), sendWhole(2, 3)];
  const cases: StreamPlay[] = [
    {scripts: [endsAfter(100), sendWhole(2, 3)]},
    {scripts: [endsAfter(900)]},
    {scripts, retries: 0},
    {scripts, route: {maxRuns: 1}},
    {scripts, route: {isResumable: false}},
  ];
  const played = await Promise.all(
    cases.map(play =>
      playStream(t, {canMove: false, onData: leavesAtOnce(), ...play}),
    ),
  );
  for (const {body, isComplete, runs, held} of played) {
    expect([body, isComplete]).toEqual([events(1, 2), true]);
    expect([runs[0], runs[1] ?? 0, held]).toEqual([1, 0, 0]);
  }
});

test('runs a stream again that moves with its KV cache', async t => {
  let endSource = () => {};
  const mover: KvCacheMover = {
    copy: (_source, _attempt, _destination, isLast) => {
      if (isLast) endSource();
      return Promise.resolve({kind: 'copied', handle: 'h1'});
    },
    drop: () => undefined,
  };
  const first: Script = source => {
    endSource = () => source.socket.end();
    neverEnds(source);
  };
  // A budget without retries refuses a second run, and no move.
  const {body, runs} = await playStream(t, {
    mover,
    retries: 0,
    scripts: [first, sendWhole(2, 3)],
    onData: leavesAtOnce(),
  });
  expect(body).toEqual(events(1, 3));
  expect(runs).toEqual([1, 1]);
});

async function startPair(t: TestContext, first: Script, second: Script) {
  const targets = await Promise.all([first, second].map(startScriptedTarget));
  const gateway = await startTestGateway({
    kind: 'stream',
    canMove: false,
    route: {isResumable: true, timeoutMs: 20_000},
    targets,
  });
  t.after(() => {
    gateway.close();
    for (const target of targets) target.close();
  });
  return {gateway, targets};
}

test('waits for the first event of a target that leaves', async t => {
  const started: {leave?: () => void} = {};
  const first = () => started.leave?.();
  const {gateway} = await startPair(t, first, sendWhole(1, 3));
  started.leave = () => gateway.startDraining(0);
  expect(await receive(gateway.port, 0)).toEqual(events(1, 3).length);
});

test('takes a caller that does not read for a target that has stalled', async t => {
  const item = (id: number) => `id: ${id}\ndata: ${'x'.repeat(60_000)}\n\n`;
  const text = Array.from({length: 200}, (_, i) => item(i + 1)).join('');
  const first = send(streamHead() + chunk(text) + STREAM_END);
  const {gateway, targets} = await startPair(t, first, sendWhole(2, 3));
  expect(await receive(gateway.port, CALLER_PAUSE_MS)).toEqual(text.length);
  expect(targets.map(target => target.received.length)).toEqual([1, 0]);
});

/** Reads the body after a pause; resolves with its bytes. */
function receive(port: number, pauseMs: number): Promise<number> {
  const headers = {host: 'test', attempt: 'a1'};
  return new Promise(resolve => {
    request({host: '127.0.0.1', port, headers, agent: false}, res => {
      let bytes = 0;
      res.on('data', (part: Buffer) => (bytes += part.length));
      res.on('end', () => resolve(bytes));
      res.pause();
      setTimeout(() => res.resume(), pauseMs);
    }).end();
  });
}

test('keeps a stream at a target that has stalled', async t => {
  const scripts = [neverEnds, sendWhole(2, 3)];
  const {body, runs} = await playStream(t, {canMove: false, scripts});
  expect(body).toEqual(events(1, 3));
  expect(runs).toEqual([1, 1]);
});

/** Resumable streams whose targets leave or stall while no move is possible. */
import {expect} from 'earl';
import {request} from 'node:http';
import {test, type TestContext} from 'node:test';
import type {KvCacheMover} from '../moves/index.js';
import {
  call,
  startTestGateway,
  type TestGatewayOptions,
} from '../testing/gateway.js';
import {
  startScriptedTarget,
  type ReceivedRequest,
} from '../testing/scripted-target.js';
import {
  chunk,
  event,
  events,
  STREAM_END,
  streamHead,
  wholeStream,
} from '../testing/streams.js';

/** Longer than the silence after which a target has stalled. */
const CALLER_PAUSE_MS = 4_000;

type Script = (request: ReceivedRequest) => void;

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
const neverEnds: Script = ({socket}) =>
  socket.write(streamHead() + chunk(event(1)));
const sendsTheRest: Script = ({socket}) => socket.write(wholeStream(2, 3));

interface Play extends Partial<TestGatewayOptions> {
  readonly scripts: readonly Script[];
  /** Whether the first target leaves once the caller has an event. */
  readonly leaves: boolean;
}

async function play(t: TestContext, {scripts, leaves, ...options}: Play) {
  const targets = await Promise.all(scripts.map(startScriptedTarget));
  const gateway = await startTestGateway({
    ...options,
    kind: 'stream',
    route: {isResumable: true, ...options.route},
    targets,
  });
  t.after(() => {
    gateway.close();
    for (const target of targets) target.close();
  });
  let hasLeft = !leaves;
  const response = await call(gateway.port, {
    onData: () => {
      if (!hasLeft) gateway.startDraining(0);
      hasLeft = true;
    },
  });
  const runs = targets.map(({received}) => received.length);
  return {response, runs, gateway};
}

test('waits for the end of a target that leaves and cannot hand over its runs', async t => {
  for (const options of [{mover: UNREACHABLE}, {canMove: false}]) {
    const scripts = [neverEnds, sendsTheRest];
    const {response, gateway} = await play(t, {
      ...options,
      scripts,
      leaves: true,
    });
    expect(response.body).toEqual(events(1, 3));
    expect(response.isComplete).toEqual(true);
    expect(gateway.heldRunCount()).toEqual(0);
  }
});

test('waits for the first event of a target that leaves', async t => {
  const started: {first?: () => void} = {};
  const targets = await Promise.all([
    startScriptedTarget(() => started.first?.()),
    startScriptedTarget(({socket}) => socket.write(wholeStream(1, 3))),
  ]);
  const gateway = await startTestGateway({
    kind: 'stream',
    canMove: false,
    route: {isResumable: true},
    targets,
  });
  t.after(() => {
    gateway.close();
    for (const target of targets) target.close();
  });
  started.first = () => gateway.startDraining(0);
  expect((await call(gateway.port)).body).toEqual(events(1, 3));
});

test('breaks off a stream that ends before its target has left', async t => {
  const scripts = [endsAfter(100), sendsTheRest];
  const {response, runs} = await play(t, {
    canMove: false,
    scripts,
    leaves: true,
  });
  expect(response.body).toEqual(events(1, 2));
  expect(runs).toEqual([1, 0]);
});

test('breaks off a stream that cannot run elsewhere', async t => {
  const obstacles: Array<Partial<Play>> = [
    {scripts: [endsAfter(900)]},
    {retries: 0},
    {route: {maxRuns: 1, isResumable: true}},
    {route: {isResumable: false}},
  ];
  const results = await Promise.all(
    obstacles.map(obstacle =>
      play(t, {
        canMove: false,
        scripts: [endsAfter(900), sendsTheRest],
        leaves: true,
        ...obstacle,
      }),
    ),
  );
  for (const {response, runs, gateway} of results) {
    expect(response.body).toEqual(events(1, 2));
    expect(response.isComplete).toEqual(true);
    expect([runs[0], runs[1] ?? 0]).toEqual([1, 0]);
    expect(gateway.heldRunCount()).toEqual(0);
  }
});

test('runs a stream again that moves with its KV cache', async t => {
  let source: ReceivedRequest | undefined;
  const mover: KvCacheMover = {
    copy: (_source, _attempt, _destination, isLast) => {
      if (isLast) source!.socket.end();
      return Promise.resolve({kind: 'copied', handle: 'h1'});
    },
    drop: () => undefined,
  };
  const first: Script = request => {
    source = request;
    neverEnds(request);
  };
  // A budget without retries refuses a second run, and no move.
  const {response, runs} = await play(t, {
    mover,
    retries: 0,
    scripts: [first, sendsTheRest],
    leaves: true,
  });
  expect(response.body).toEqual(events(1, 3));
  expect(runs).toEqual([1, 1]);
});

test('takes a caller that does not read for a target that has stalled', async t => {
  const count = 200;
  const data = 'x'.repeat(60_000);
  const text = Array.from(
    {length: count},
    (_, i) => `id: ${i + 1}\ndata: ${data}\n\n`,
  ).join('');
  const targets = await Promise.all([
    startScriptedTarget(({socket}) => {
      socket.write(streamHead() + chunk(text) + STREAM_END);
    }),
    startScriptedTarget(sendsTheRest),
  ]);
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
  const received = await new Promise<number>(resolve => {
    const headers = {host: 'test', attempt: 'a1'};
    const options = {host: '127.0.0.1', port: gateway.port, headers};
    request({...options, agent: false}, res => {
      let bytes = 0;
      res.on('data', (part: Buffer) => (bytes += part.length));
      res.on('end', () => resolve(bytes));
      res.pause();
      setTimeout(() => res.resume(), CALLER_PAUSE_MS);
    }).end();
  });
  expect(received).toEqual(text.length);
  expect(targets.map(target => target.received.length)).toEqual([1, 0]);
});

test('keeps a stream at a target that has stalled', async t => {
  const {response, runs} = await play(t, {
    canMove: false,
    scripts: [neverEnds, sendsTheRest],
    leaves: false,
  });
  expect(response.body).toEqual(events(1, 3));
  expect(runs).toEqual([1, 1]);
});

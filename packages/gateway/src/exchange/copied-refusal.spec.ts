/** Requests that come back to a target that refused them, and copies of that refusal. */
import {expect} from 'earl';
import {test, type TestContext} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import type {Socket} from 'node:net';
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
  events,
  STREAM_END,
  streamHead,
  type Script,
} from '../testing/streams.js';

/** After this time a target that refused a request is chosen again. */
const AVOID_REFUSING_MS = 400;
const WORK_MS = 40;
const REFUSALS = ['421 Misdirected', '503 Busy', '429 Full'];

const linesOf = (head: string) => {
  const id = /^attempt: (\w+)/im.exec(head)?.[1];
  return id === undefined ? [] : [`Attempt: ${id}`];
};

/** Refuses the first request, and once more when the next one has come. */
function refuseTwice(status: string, run: Script): Script {
  let refused: {readonly socket: Socket; readonly bytes: string} | undefined;
  return request => {
    if (refused) {
      refused.socket.write(refused.bytes);
      setTimeout(() => run(request), WORK_MS);
      return;
    }
    const {socket, head} = request;
    const lines = ['Not-Run: 1', ...linesOf(head)];
    refused = {socket, bytes: completeResponse('', lines, status)};
    socket.write(refused.bytes);
  };
}

const run: Script = ({socket, head}) =>
  socket.write(completeResponse('ran', linesOf(head)));

type Options = Omit<TestGatewayOptions, 'targets'>;

/** `order`: which script each registered target follows; default: its own. */
async function setUp(
  t: TestContext,
  options: Options,
  scripts: readonly Script[],
  order = scripts.map((_, position) => position),
) {
  const targets = await Promise.all(scripts.map(startScriptedTarget));
  const registered = order.map(position => targets[position]!);
  const gateway = await startTestGateway({...options, targets: registered});
  t.after(() => {
    gateway.close();
    for (const target of targets) target.close();
  });
  return {targets, gateway};
}

for (const status of REFUSALS) {
  test(`a copied refusal makes a request run twice: one address has two targets, ${status}`, async t => {
    const scripts = [refuseTwice(status, run), run];
    const order = [0, 0, 1];
    const {targets, gateway} = await setUp(t, {kind: 'unsafe'}, scripts, order);
    const response = await call(gateway.port);
    expect(response.body).toEqual('ran');
    expect(targets.map(({received}) => received.length)).toEqual([2, 0]);
  });
}

for (const attemptId of ['a1', '']) {
  test(`a copied refusal calls a request not run that has run: ${attemptId ? 'its id comes' : 'it comes without an id'} again`, async t => {
    const scripts = [refuseTwice('503 Busy', run)];
    const {gateway} = await setUp(t, {kind: 'unsafe'}, scripts);
    const first = await call(gateway.port, {attemptId});
    expect(first.status).toEqual(503);
    await delay(AVOID_REFUSING_MS);
    const second = await call(gateway.port, {attemptId});
    expect([second.status, second.body]).toEqual([200, 'ran']);
  });
}

test('a copied refusal loses a stream that moves to a target that refused it', async t => {
  let source: ReceivedRequest | undefined;
  const mover: KvCacheMover = {
    copy: (_source, _attempt, _destination, isLast) => {
      if (isLast) source!.socket.end();
      return Promise.resolve({kind: 'copied', handle: 'h1'});
    },
    drop: () => undefined,
  };
  const goOn: Script = ({socket}) =>
    socket.write(streamHead('Attempt: a1') + chunk(events(3, 4)) + STREAM_END);
  const scripts: Script[] = [
    refuseTwice('503 Busy', goOn),
    request => {
      source = request;
      request.socket.write(streamHead('Attempt: a1') + chunk(events(1, 2)));
    },
  ];
  const {gateway} = await setUp(t, {kind: 'stream', mover}, scripts);
  let hasLeft = false;
  const response = await call(gateway.port, {
    onData: () => {
      if (!hasLeft) gateway.startDraining(1);
      hasLeft = true;
    },
  });
  expect(response.body).toEqual(events(1, 4));
  expect(response.isComplete).toEqual(true);
});

test('a target that refuses one request has to be connected to anew for others', async t => {
  const sockets = new Set<Socket>();
  const noteSocket: Script = request => {
    sockets.add(request.socket);
    const isFirst = request.number === 1;
    const lines = ['Not-Run: 1', ...linesOf(request.head)];
    if (isFirst) request.socket.write(completeResponse('', lines, '503 Busy'));
    else run(request);
  };
  const {gateway} = await setUp(t, {kind: 'unsafe'}, [noteSocket]);
  await call(gateway.port, {attemptId: 'a1'});
  await delay(AVOID_REFUSING_MS);
  const other = await call(gateway.port, {attemptId: 'a2'});
  expect([other.status, sockets.size]).toEqual([200, 1]);
});

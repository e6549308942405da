/** Requests through the gateway to targets that fail in many ways. */
import {expect} from 'earl';
import {setTimeout as delay} from 'node:timers/promises';
import {test, type TestContext} from 'node:test';
import type {KvCacheMover} from '../moves/index.js';
import {
  call,
  startTestGateway,
  type TestGateway,
  type TestGatewayOptions,
} from '../testing/gateway.js';
import {
  startScriptedTarget,
  completeResponse,
  type ReceivedRequest,
} from '../testing/scripted-target.js';

type Script = (request: ReceivedRequest) => void;

const respondWith =
  (text: string): Script =>
  ({socket}) =>
    socket.write(text);
const closeWithoutResponse: Script = ({socket}) => socket.destroy();
const rejected = completeResponse(
  '',
  ['Not-Run: 1', 'Attempt: a1'],
  '503 Busy',
);

async function setUp(
  t: TestContext,
  options: Omit<TestGatewayOptions, 'targets'>,
  scripts: readonly Script[],
) {
  const targets = await Promise.all(scripts.map(startScriptedTarget));
  const gateway = await startTestGateway({...options, targets});
  t.after(() => {
    gateway.close();
    for (const target of targets) target.close();
  });
  return {targets, gateway};
}

/**
 * Sends a request; the first target drains once the caller has received data.
 */
function callAndDrain(gateway: TestGateway) {
  let isDraining = false;
  return call(gateway.port, {
    onData: () => {
      if (isDraining) return;
      isDraining = true;
      gateway.startDraining(0);
    },
  });
}

const streamHead = [
  'HTTP/1.1 200 OK',
  'Signed: yes',
  'Transfer-Encoding: chunked',
  '',
  '',
].join('\r\n');
const chunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;
const event = (id: number) => `id: ${id}\ndata: t${id}\n\n`;
const events = (from: number, to: number) =>
  Array.from({length: to - from + 1}, (_, i) => event(from + i)).join('');
const STREAM_END = '0\r\n\r\n';

test('forwards method, path, query, body and response unchanged', async t => {
  const {targets, gateway} = await setUp(t, {kind: 'unsafe'}, [
    respondWith(completeResponse('done', ['X-Own: 1'])),
  ]);
  const response = await call(gateway.port, {body: 'order 7'});
  expect(response.status).toEqual(200);
  expect(response.body).toEqual('done');
  expect(response.headers['x-own']).toEqual('1');
  const [received] = targets[0]!.received;
  expect(received!.head.split('\r\n')[0]).toEqual('POST /x?q=1 HTTP/1.1');
  expect(received!.body).toEqual('order 7');
});

test('replaces internal headers and drops connection-specific ones', async t => {
  const {targets, gateway} = await setUp(t, {kind: 'safe'}, [
    respondWith(completeResponse('done')),
  ]);
  await call(gateway.port, {
    headers: {internal: 'forged', connection: 'bound', bound: 'x', kept: 'y'},
  });
  const head = targets[0]!.received[0]!.head.toLowerCase();
  expect(head.includes('forged')).toEqual(false);
  expect(head.includes('internal: t1')).toEqual(true);
  expect(head.includes('bound')).toEqual(false);
  expect(head.includes('kept: y')).toEqual(true);
});

test('sends a rejected request of any kind to another target', async t => {
  for (const kind of ['safe', 'unsafe', 'stream'] as const) {
    const {targets, gateway} = await setUp(t, {kind}, [
      respondWith(rejected),
      respondWith(completeResponse('done')),
    ]);
    const response = await call(gateway.port);
    expect(response.status).toEqual(200);
    expect(targets.map(target => target.received.length)).toEqual([1, 1]);
  }
});

test('responds not run with Retry-After if all targets rejected it', async t => {
  const {gateway} = await setUp(t, {kind: 'unsafe'}, [respondWith(rejected)]);
  const response = await call(gateway.port, {headers: {'deadline-ms': '600'}});
  expect(response.status).toEqual(503);
  expect(Number(response.headers['retry-after'])).toBeGreaterThan(0);
  expect(gateway.heldRunCount()).toEqual(0);
});

test('repeats a safe request whose response was lost', async t => {
  const {gateway} = await setUp(t, {kind: 'safe'}, [
    closeWithoutResponse,
    respondWith(completeResponse('done')),
  ]);
  expect((await call(gateway.port)).body).toEqual('done');
});

test('never repeats an unsafe request or reports it as not run', async t => {
  for (const kind of ['unsafe', 'stream'] as const) {
    const {targets, gateway} = await setUp(t, {kind}, [
      closeWithoutResponse,
      respondWith(completeResponse('done')),
    ]);
    expect((await call(gateway.port)).status).toEqual(502);
    expect(targets[1]!.received.length).toEqual(0);
  }
});

test('runs a request at most as often as the route allows', async t => {
  const {targets, gateway} = await setUp(
    t,
    {kind: 'safe', route: {maxRuns: 1}},
    [closeWithoutResponse, respondWith(completeResponse('done'))],
  );
  expect((await call(gateway.port)).status).toEqual(502);
  expect(targets[1]!.received.length).toEqual(0);
});

test('does not retry when the retry budget is empty', async t => {
  const {targets, gateway} = await setUp(t, {kind: 'safe', retries: 0}, [
    closeWithoutResponse,
    respondWith(completeResponse('done')),
  ]);
  expect((await call(gateway.port)).status).toEqual(502);
  expect(targets[1]!.received.length).toEqual(0);
});

test("forwards a target's failure response unchanged", async t => {
  const failure = completeResponse('broken', [], '500 Failed');
  const {gateway} = await setUp(t, {kind: 'unsafe'}, [respondWith(failure)]);
  const response = await call(gateway.port);
  expect(response.status).toEqual(500);
  expect(response.body).toEqual('broken');
  expect(response.headers['signed']).toEqual('yes');
});

test('accepts no success response without a signature', async t => {
  const unsigned = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi';
  const {gateway} = await setUp(t, {kind: 'unsafe'}, [respondWith(unsigned)]);
  expect((await call(gateway.port)).status).toEqual(502);
});

test('forwards no truncated response', async t => {
  const {gateway} = await setUp(t, {kind: 'unsafe'}, [
    ({socket}) => socket.end(completeResponse('whole').slice(0, -2)),
  ]);
  expect((await call(gateway.port)).status).toEqual(502);
});

test('forwards no response with a damaged chunk', async t => {
  const {gateway} = await setUp(t, {kind: 'unsafe'}, [
    respondWith(streamHead + chunk('half') + 'zz\r\n\r\n'),
  ]);
  expect((await call(gateway.port)).status).toEqual(502);
});

test('adds no framing to a response that ends with its connection', async t => {
  const {gateway} = await setUp(t, {kind: 'unsafe'}, [
    ({socket}) => socket.end('HTTP/1.1 200 OK\r\nSigned: yes\r\n\r\nsome'),
  ]);
  const response = await call(gateway.port);
  expect(response.body).toEqual('some');
  expect(response.headers['content-length']).toEqual(undefined);
  expect(response.headers['transfer-encoding']).toEqual(undefined);
  expect(response.headers.connection).toEqual('close');
});

test('skips a response to an earlier request', async t => {
  const foreign = completeResponse('foreign', ['Attempt: a0']);
  const expected = completeResponse('own', ['Attempt: a1']);
  const {gateway} = await setUp(t, {kind: 'unsafe'}, [
    respondWith(foreign + expected),
  ]);
  expect((await call(gateway.port)).body).toEqual('own');
});

test('does not reuse a connection with bytes after the response', async t => {
  const {targets, gateway} = await setUp(t, {kind: 'safe'}, [
    ({socket, number}) => {
      const extra = number === 1 ? completeResponse('stray') : '';
      socket.write(completeResponse(`own ${number}`) + extra);
    },
  ]);
  expect((await call(gateway.port)).body).toEqual('own 1');
  expect((await call(gateway.port)).body).toEqual('own 2');
  const [first, second] = targets[0]!.received;
  expect(first!.socket).not.toEqual(second!.socket);
});

test('cancels the attempt when the caller disconnects', async t => {
  let closed = 0;
  const {gateway} = await setUp(t, {kind: 'stream'}, [
    ({socket}) => {
      socket.on('close', () => (closed += 1));
      socket.write(streamHead + chunk(event(1)));
    },
  ]);
  await call(gateway.port, {onData: (_text, disconnect) => disconnect()}).catch(
    () => undefined,
  );
  for (let i = 0; i < 100 && closed === 0; i += 1) await delay(10);
  expect(closed).toEqual(1);
  expect(gateway.heldRunCount()).toEqual(0);
});

test('ends a request that was sent at the timeout with an unknown outcome', async t => {
  const {gateway} = await setUp(t, {kind: 'unsafe', route: {timeoutMs: 80}}, [
    () => undefined,
  ]);
  expect((await call(gateway.port)).status).toEqual(504);
});

test('ends a request without a reservation at the timeout as not run', async t => {
  const {targets, gateway} = await setUp(
    t,
    {kind: 'unsafe', route: {timeoutMs: 80}},
    [respondWith(completeResponse('done'))],
  );
  gateway.startDraining(0);
  expect((await call(gateway.port)).status).toEqual(503);
  expect(targets[0]!.received.length).toEqual(0);
});

test('never completes the response of a stream that broke off', async t => {
  const {gateway} = await setUp(t, {kind: 'stream'}, [
    ({socket}) => socket.end(streamHead + chunk(events(1, 2) + 'id: 3\nda')),
  ]);
  const response = await call(gateway.port);
  expect(response.isComplete).toEqual(false);
  expect(response.body).toEqual(events(1, 2));
});

test('continues a stream on another target when its target drains', async t => {
  const steps: string[] = [];
  let source: ReceivedRequest | undefined;
  const mover: KvCacheMover = {
    copy: (_source, attempt, _destination, isLast) => {
      steps.push(`${attempt} ${isLast ? 'last' : 'first'}`);
      // The run stops and its stream closes before its end.
      if (isLast) source!.socket.end(chunk(event(3)));
      return Promise.resolve({kind: 'copied', handle: 'h1'});
    },
    drop: () => undefined,
  };
  const {targets, gateway} = await setUp(t, {kind: 'stream', mover}, [
    request => {
      source = request;
      request.socket.write(streamHead + chunk(events(1, 2)));
    },
    respondWith(streamHead + chunk(events(4, 6)) + STREAM_END),
  ]);
  const response = await callAndDrain(gateway);
  expect(response.isComplete).toEqual(true);
  expect(response.body).toEqual(events(1, 6));
  expect(steps).toEqual(['a1 first', 'a1 last']);
  const {head} = targets[1]!.received[0]!;
  expect(head.includes('Resume: h1\r\nLast: 3')).toEqual(true);
  expect(gateway.heldRunCount()).toEqual(0);
});

test('does not continue a stream after a gap', async t => {
  let source: ReceivedRequest | undefined;
  const mover: KvCacheMover = {
    copy: (_source, _attempt, _destination, isLast) => {
      if (isLast) source!.socket.end();
      return Promise.resolve({kind: 'copied', handle: 'h1'});
    },
    drop: () => undefined,
  };
  const {gateway} = await setUp(t, {kind: 'stream', mover}, [
    request => {
      source = request;
      request.socket.write(streamHead + chunk(events(1, 2)));
    },
    respondWith(streamHead + chunk(events(4, 6)) + STREAM_END),
  ]);
  const response = await callAndDrain(gateway);
  expect(response.isComplete).toEqual(false);
  expect(response.body).toEqual(events(1, 2));
});

test('does not restart a moved run that its destination rejects', async t => {
  let source: ReceivedRequest | undefined;
  const mover: KvCacheMover = {
    copy: (from, _attempt, _destination, isLast) => {
      if (from.port !== targets[0]!.port) {
        return Promise.resolve({kind: 'no_run'});
      }
      if (isLast) source!.socket.end();
      return Promise.resolve({kind: 'copied', handle: 'h1'});
    },
    drop: () => undefined,
  };
  const {targets, gateway} = await setUp(t, {kind: 'stream', mover}, [
    request => {
      source = request;
      request.socket.write(streamHead + chunk(events(1, 2)));
    },
    respondWith(completeResponse('', ['Not-Run: 1'], '421 Misdirected')),
    respondWith(streamHead + chunk(events(1, 6)) + STREAM_END),
  ]);
  const response = await callAndDrain(gateway);
  expect(response.isComplete).toEqual(false);
  expect(response.body).toEqual(events(1, 2));
  expect(targets[2]!.received.length).toEqual(0);
});

test('starts no run that would outlast a planned stop', async t => {
  const {targets, gateway} = await setUp(t, {kind: 'stream'}, [
    respondWith(streamHead + chunk(events(1, 2)) + STREAM_END),
  ]);
  gateway.stopIn(60_000);
  expect((await call(gateway.port)).status).toEqual(200);
  gateway.stopIn(1_000);
  expect((await call(gateway.port)).status).toEqual(503);
  expect(targets[0]!.received.length).toEqual(1);
});

test('a request that comes late in a planned stop is cut by its end', async t => {
  for (const kind of ['safe', 'unsafe', 'stream'] as const) {
    const {targets, gateway} = await setUp(t, {kind}, [
      respondWith(completeResponse('done')),
    ]);
    const headers = {'deadline-ms': '3000', output: '1'};
    gateway.stopIn(4_000, 3_500);
    expect((await call(gateway.port, {headers})).status).toEqual(200);
    gateway.stopIn(2_500, 3_500);
    const late = await call(gateway.port, {headers});
    expect(late.status).toEqual(503);
    expect(late.headers['retry-after'] === undefined).toEqual(false);
    expect(targets[0]!.received.length).toEqual(1);
  }
});

test('a request that waited for a target is sent too late in a planned stop', async t => {
  const {targets, gateway} = await setUp(t, {kind: 'unsafe'}, [
    respondWith(rejected),
    respondWith(completeResponse('done')),
  ]);
  targets[0]!.received.push = (...items) => {
    gateway.stopIn(500, 3_500);
    return Array.prototype.push.apply(targets[0]!.received, items);
  };
  const response = await call(gateway.port);
  expect(response.status).toEqual(503);
  expect(targets[1]!.received.length).toEqual(0);
});

test('resumes on the same target when only the connection broke', async t => {
  const mover: KvCacheMover = {
    copy: () => Promise.resolve({kind: 'refused', handle: 'h2'}),
    drop: () => undefined,
  };
  const {targets, gateway} = await setUp(t, {kind: 'stream', mover}, [
    ({socket, number}) => {
      if (number === 1) socket.end(streamHead + chunk(events(1, 2)));
      else socket.write(streamHead + chunk(events(2, 4)) + STREAM_END);
    },
    respondWith(streamHead + chunk(events(1, 4)) + STREAM_END),
  ]);
  const response = await call(gateway.port);
  expect(response.body).toEqual(events(1, 4));
  expect(response.isComplete).toEqual(true);
  expect(targets[1]!.received.length).toEqual(0);
});

test("forwards a target's failure response when no retry succeeds", async t => {
  const failure = completeResponse('broken', [], '500 Failed');
  for (const retries of [0, 1]) {
    const {gateway} = await setUp(t, {kind: 'safe', retries}, [
      respondWith(failure),
      closeWithoutResponse,
    ]);
    const response = await call(gateway.port);
    expect(response.status).toEqual(500);
    expect(response.body).toEqual('broken');
  }
});

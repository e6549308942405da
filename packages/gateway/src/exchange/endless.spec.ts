/**
 * Targets and callers that send bytes without end which are no message. The
 * gateway has to close the connection after a bounded number of bytes and a
 * bounded time, and to tell the caller the true outcome.
 */
import {expect} from 'earl';
import {connect, type Socket} from 'node:net';
import {test, type TestContext} from 'node:test';
import type {KvCacheMover} from '../moves/index.js';
import type {RequestKind} from '../routes/index.js';
import {
  call,
  startTestGateway,
  type CallerResponse,
} from '../testing/gateway.js';
import {
  completeResponse,
  startScriptedTarget,
  type ReceivedRequest,
} from '../testing/scripted-target.js';

const PIECE_BYTES = 16_384;
const DRIP_EVERY_MS = 5;
/** More than the gateway may read of bytes that are no response. */
const MAX_FLOOD_BYTES = 20_000_000;

const HEAD = 'HTTP/1.1 200 OK\r\nSigned: yes\r\n';
const CHUNKED = `${HEAD}Transfer-Encoding: chunked\r\n\r\n`;
const EVENT = 'id: 1\ndata: x\n\n';
const chunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;

interface Flood {
  /** Resolves with the bytes written when the other side has closed. */
  readonly closed: Promise<number>;
}

/** Writes `prefix`, then `piece` again and again until the connection closes. */
function flood(socket: Socket, prefix: string, piece: string): Flood {
  const block = Buffer.from(
    piece.repeat(Math.max(1, Math.floor(PIECE_BYTES / piece.length))),
  );
  let isClosed = false;
  const pump = () => {
    while (!isClosed && socket.bytesWritten < MAX_FLOOD_BYTES) {
      if (!socket.write(block)) return;
    }
  };
  const closed = new Promise<number>(resolve => {
    socket.on('close', () => {
      isClosed = true;
      resolve(socket.bytesWritten);
    });
  });
  socket.write(prefix);
  socket.on('drain', pump);
  pump();
  return {closed};
}

/** Writes `prefix`, then `piece` at short intervals until the connection closes. */
function drip(socket: Socket, prefix: string, piece: string): Flood {
  socket.write(prefix);
  const timer = setInterval(() => socket.write(piece), DRIP_EVERY_MS);
  const closed = new Promise<number>(resolve => {
    socket.on('close', () => {
      clearInterval(timer);
      resolve(socket.bytesWritten);
    });
  });
  return {closed};
}

interface Played {
  readonly response: CallerResponse;
  readonly floodedBytes: number;
  /** Number of requests that the sound target received. */
  readonly servedElsewhere: number;
  readonly heldRuns: number;
}

/** Plays a request whose first target misbehaves; a second target is sound. */
async function play(
  t: TestContext,
  kind: RequestKind,
  misbehave: (socket: Socket) => Flood,
  mover?: KvCacheMover,
): Promise<Played> {
  let started: Flood | undefined;
  const bad = await startScriptedTarget(({socket}: ReceivedRequest) => {
    started = misbehave(socket);
  });
  const good = await startScriptedTarget(({socket}) =>
    socket.write(completeResponse('whole')),
  );
  const gateway = await startTestGateway({
    kind,
    mover,
    targets: [bad, good],
    route: {timeoutMs: 15_000},
  });
  t.after(() => {
    gateway.close();
    bad.close();
    good.close();
  });
  const response = await call(gateway.port);
  return {
    response,
    floodedBytes: await started!.closed,
    servedElsewhere: good.received.length,
    heldRuns: gateway.heldRunCount(),
  };
}

interface EndlessCase {
  readonly prefix: string;
  readonly piece: string;
}

const ENDLESS_RESPONSES: Readonly<Record<string, EndlessCase>> = {
  'head without a line end': {prefix: 'HTTP/1.1 200 OK', piece: 'x'},
  'header lines': {prefix: HEAD, piece: 'A: b\r\n'},
  'bytes before a status line': {prefix: '', piece: '\u0001'},
  'empty lines before a status line': {prefix: '', piece: '\r\n'},
  'interim responses': {prefix: '', piece: 'HTTP/1.1 102 Wait\r\n\r\n'},
  'chunk size line': {prefix: CHUNKED, piece: '0'},
  'chunk extension': {prefix: `${CHUNKED}5;`, piece: 'x'},
  trailers: {prefix: `${CHUNKED}0\r\n`, piece: 'A: b\r\n'},
  'response to another request': {
    prefix: `${HEAD}Attempt: other\r\nTransfer-Encoding: chunked\r\n\r\n`,
    piece: chunk('x'.repeat(1_000)),
  },
};

for (const [name, {prefix, piece}] of Object.entries(ENDLESS_RESPONSES)) {
  test(`endless ${name}: a safe request is tried elsewhere`, async t => {
    const played = await play(t, 'safe', socket =>
      flood(socket, prefix, piece),
    );
    expect(played.response.status).toEqual(200);
    expect(played.response.body).toEqual('whole');
    expect(played.floodedBytes).toBeLessThan(MAX_FLOOD_BYTES);
  });

  test(`endless ${name}: an unsafe request's outcome is unknown`, async t => {
    const played = await play(t, 'unsafe', socket =>
      flood(socket, prefix, piece),
    );
    expect(played.response.status).toEqual(502);
    expect(played.servedElsewhere).toEqual(0);
    expect(played.heldRuns).toEqual(0);
  });
}

test('a head that arrives without end byte by byte is given up', async t => {
  const played = await play(t, 'safe', socket => drip(socket, HEAD, 'x'));
  expect(played.response.body).toEqual('whole');
});

test('interim responses do not count as a head in progress', async t => {
  const played = await play(t, 'safe', socket => {
    socket.write('HTTP/1.1 102 Wait\r\n\r\n');
    setTimeout(() => socket.end(completeResponse('late')), 2_500);
    return drip(socket, '', '');
  });
  expect(played.response.body).toEqual('late');
});

test('an endless body without a stated length never looks complete', async t => {
  const piece = chunk('x'.repeat(1_000));
  const played = await play(t, 'unsafe', socket =>
    flood(socket, CHUNKED, piece),
  );
  expect(played.response.isComplete).toEqual(false);
  expect(played.floodedBytes).toBeLessThan(MAX_FLOOD_BYTES);
});

test('endless bytes after a response do not reach the caller', async t => {
  const piece = 'HTTP/1.1 200 OK\r\n';
  const played = await play(t, 'unsafe', socket =>
    flood(socket, completeResponse('whole'), piece),
  );
  expect(played.response.body).toEqual('whole');
  expect(played.response.isComplete).toEqual(true);
  expect(played.floodedBytes).toBeLessThan(MAX_FLOOD_BYTES);
});

test('endless bytes in a stream that are no event break it off', async t => {
  const prefix = CHUNKED + chunk(EVENT);
  const played = await play(t, 'stream', socket =>
    flood(socket, prefix, chunk('x'.repeat(1_000))),
  );
  expect(played.response.body).toEqual(EVENT);
  expect(played.response.isComplete).toEqual(false);
  expect(played.floodedBytes).toBeLessThan(MAX_FLOOD_BYTES);
});

test('endless bytes before the first event are no response', async t => {
  const played = await play(t, 'stream', socket =>
    flood(socket, CHUNKED, chunk('x'.repeat(1_000))),
  );
  expect(played.response.status).toEqual(502);
  expect(played.servedElsewhere).toEqual(0);
});

test('a stream that sends bytes but no events counts as stuck', async t => {
  let copies = 0;
  const mover: KvCacheMover = {
    copy: () => {
      copies += 1;
      return Promise.resolve({kind: 'unreachable', reason: 'no response'});
    },
    drop: () => undefined,
  };
  const play1 = play(
    t,
    'stream',
    socket => {
      setTimeout(() => socket.destroy(), 3_000);
      return drip(socket, CHUNKED + chunk(EVENT), chunk('x'));
    },
    mover,
  );
  const played = await play1;
  expect(played.response.isComplete).toEqual(false);
  expect(copies).toBeGreaterThan(0);
});

/** Sends raw bytes to the gateway as a caller; resolves when it closes. */
async function callerFlood(
  t: TestContext,
  prefix: string,
  send: (socket: Socket, prefix: string) => Flood,
): Promise<{received: string; sentBytes: number}> {
  const target = await startScriptedTarget(() => undefined);
  const gateway = await startTestGateway({kind: 'unsafe', targets: [target]});
  t.after(() => {
    gateway.close();
    target.close();
  });
  const socket = connect({host: '127.0.0.1', port: gateway.port});
  let received = '';
  socket.on('data', data => (received += data.toString('latin1')));
  socket.on('error', () => undefined);
  const sentBytes = await send(socket, prefix).closed;
  expect(target.received.length).toEqual(0);
  return {received, sentBytes};
}

const POST = 'POST /x HTTP/1.1\r\nHost: test\r\nDeadline-Ms: 600\r\n';

test("a caller's endless header lines are refused", async t => {
  const {received, sentBytes} = await callerFlood(t, POST, (socket, prefix) =>
    flood(socket, prefix, 'A: b\r\n'),
  );
  expect(received).toInclude(' 431 ');
  expect(sentBytes).toBeLessThan(MAX_FLOOD_BYTES);
});

test("a caller's endless body is refused", async t => {
  const prefix = `${POST}Transfer-Encoding: chunked\r\n\r\n`;
  const {received, sentBytes} = await callerFlood(t, prefix, (socket, head) =>
    flood(socket, head, chunk('x'.repeat(1_000))),
  );
  expect(received).toInclude(' 413 ');
  expect(sentBytes).toBeLessThan(MAX_FLOOD_BYTES);
});

test("a caller's body that never ends is given up at its deadline", async t => {
  const prefix = `${POST}Transfer-Encoding: chunked\r\n\r\n`;
  const {received} = await callerFlood(t, prefix, (socket, head) =>
    drip(socket, head, chunk('x')),
  );
  expect(received).toInclude(' 408 ');
});

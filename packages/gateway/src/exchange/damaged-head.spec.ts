/**
 * Targets that damage single bytes in the heads of their responses. No such
 * byte may end the process, and with it the requests of other callers.
 */
import {expect} from 'earl';
import {ServerResponse} from 'node:http';
import {test, type TestContext} from 'node:test';
import type {RequestKind} from '../routes/index.js';
import {call, startTestGateway} from '../testing/gateway.js';
import {
  completeResponse,
  startScriptedTarget,
} from '../testing/scripted-target.js';

const BYTE_VALUES = 256;
const BODY = 'id: 1\ndata: x\n\n';
const HEAD = [
  'HTTP/1.1 200 Fine',
  'Signed: yes',
  'Note: some text',
  'Trailer: Note',
  'Connection: keep-alive, x',
  `Content-Length: ${BODY.length}`,
  '',
  '',
].join('\r\n');

/** Positions of each kind of byte that a head has. */
const POSITIONS: Readonly<Record<string, number>> = {
  version: HEAD.indexOf('1.1'),
  status: HEAD.indexOf('200'),
  'reason phrase': HEAD.indexOf('Fine') + 1,
  'line end': HEAD.indexOf('\r'),
  name: HEAD.indexOf('Note') + 1,
  colon: HEAD.indexOf('Note') + 4,
  'space before a value': HEAD.indexOf('some') - 1,
  value: HEAD.indexOf('some') + 1,
  'last byte of a value': HEAD.indexOf('text') + 3,
  'first byte of a line': HEAD.indexOf('Connection'),
  'connection option': HEAD.indexOf('keep-alive') + 3,
  length: HEAD.indexOf('Content-Length:') + 16,
};

/** Starts a gateway to one target, whose heads are as told. */
async function setUp(t: TestContext, kind: RequestKind) {
  const head: {bytes: Buffer} = {bytes: Buffer.from(HEAD)};
  const target = await startScriptedTarget(({socket}) =>
    socket.end(Buffer.concat([head.bytes, Buffer.from(BODY)])),
  );
  const gateway = await startTestGateway({kind, targets: [target], retries: 0});
  t.after(() => {
    gateway.close();
    target.close();
  });
  return {gateway, head, target};
}

function withByte(position: number, value: number): Buffer {
  const bytes = Buffer.from(HEAD);
  bytes[position] = value;
  return bytes;
}

// Guards against one invalid byte of a head that ends the entry process.
for (const kind of ['safe', 'unsafe', 'stream'] as const) {
  test(`each byte value in a head leaves a ${kind} request its answer`, async t => {
    const {gateway, head, target} = await setUp(t, kind);
    const positions = Object.values(POSITIONS);
    for (const position of positions) {
      for (let value = 0; value < BYTE_VALUES; value += 1) {
        head.bytes = withByte(position, value);
        const response = await call(gateway.port).catch(() => undefined);
        expect(response?.status).not.toEqual(undefined);
      }
    }
    expect(target.received.length).toEqual(positions.length * BYTE_VALUES);
    expect(gateway.heldRunCount()).toEqual(0);
  });
}

test('bytes above 0x7f in a head reach the caller unchanged', async t => {
  const {gateway, head} = await setUp(t, 'unsafe');
  for (let value = 0x80; value < BYTE_VALUES; value += 1) {
    head.bytes = withByte(POSITIONS['value']!, value);
    const response = await call(gateway.port);
    expect(response.status).toEqual(200);
    const note = `s${String.fromCharCode(value)}me text`;
    expect(response.headers['note']).toEqual(note);
  }
});

test('a typographic apostrophe in a head reaches the caller', async t => {
  const {gateway, head} = await setUp(t, 'unsafe');
  head.bytes = Buffer.from(HEAD.replace('some', 'it’s'));
  const response = await call(gateway.port);
  const note = Buffer.from(String(response.headers['note']), 'latin1');
  expect([response.status, note.toString('utf8')]).toEqual([200, 'it’s text']);
});

// Guards against a response that fails while it is handled, whatever the cause.
test('a response that cannot be written to its caller ends only its own request', async t => {
  const sound = () =>
    startScriptedTarget(({socket}) => socket.write(completeResponse(BODY)));
  const targets = [await sound(), await sound()];
  const gateway = await startTestGateway({kind: 'safe', targets});
  t.after(() => {
    gateway.close();
    for (const target of targets) target.close();
  });
  const {writeHead} = ServerResponse.prototype;
  let failures = 0;
  t.mock.method(
    ServerResponse.prototype,
    'writeHead',
    function (this: ServerResponse, ...args: unknown[]) {
      failures += 1;
      if (failures === 1) throw new Error('refused by the library');
      return writeHead.apply(this, args as never);
    },
  );
  expect((await call(gateway.port)).status).toEqual(200);
  expect(failures).toEqual(2);
});

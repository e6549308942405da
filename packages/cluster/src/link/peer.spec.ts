/** Links between daemons: endless bytes, silence and keepalives. */
import {expect} from 'earl';
import {connect, type Socket} from 'node:net';
import {test, type TestContext} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {createServer, type AddressInfo} from 'node:net';
import {serializeNotification} from './lines.js';
import {Peer, PROMPT_KEEPALIVE} from './peer.js';

const MAX_FLOOD_BYTES = 4_000_000;

/** Accepts one connection with a peer that counts notifications. */
async function startAcceptor(t: TestContext) {
  const seen = {notes: 0, closed: 0};
  const peers: Peer[] = [];
  const server = createServer(socket => {
    const handlers = {note: () => (seen.notes += 1)};
    peers.push(new Peer(socket, handlers, () => (seen.closed += 1)));
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.after(() => {
    for (const peer of peers) peer.close();
    server.close();
  });
  const {port} = server.address() as AddressInfo;
  return {port, seen, peers};
}

function open(port: number): Promise<Socket> {
  return new Promise(resolve => {
    const socket = connect({host: '127.0.0.1', port}, () => resolve(socket));
    socket.on('error', () => undefined);
  });
}

test('closes a connection that sends endless bytes without a message', async t => {
  const {port, seen} = await startAcceptor(t);
  const socket = await open(port);
  const block = Buffer.alloc(16_384, 'x');
  const pump = () => {
    while (!socket.destroyed && socket.bytesWritten < MAX_FLOOD_BYTES) {
      if (!socket.write(block)) return;
    }
  };
  socket.on('drain', pump);
  const closed = new Promise(resolve => socket.on('close', resolve));
  pump();
  await closed;
  expect(socket.bytesWritten).toBeLessThan(MAX_FLOOD_BYTES);
  expect(seen.closed).toEqual(1);
});

test('stops at the first line that is no message', async t => {
  const {port, seen} = await startAcceptor(t);
  const socket = await open(port);
  const closed = new Promise(resolve => socket.on('close', resolve));
  socket.write('no message\n' + serializeNotification('note', {}));
  await closed;
  expect(seen.notes).toEqual(0);
});

test('receives notifications of one line, whole or in parts', async t => {
  const {port, seen} = await startAcceptor(t);
  const socket = await open(port);
  const line = serializeNotification('note', {});
  socket.write(line);
  for (const part of line) {
    socket.write(part);
    await delay(1);
  }
  while (seen.notes < 2) await delay(5);
  expect(seen.closed).toEqual(0);
  socket.destroy();
});

test('a quiet link stays open by keepalives', async t => {
  const {port, seen, peers} = await startAcceptor(t);
  const socket = await open(port);
  let isClosed = false;
  const opener = new Peer(
    socket,
    {},
    () => (isClosed = true),
    PROMPT_KEEPALIVE,
  );
  t.after(() => opener.close());
  await delay(2 * PROMPT_KEEPALIVE.maxSilenceMs);
  expect(isClosed).toEqual(false);
  expect(seen.closed).toEqual(0);
  expect(peers.length).toEqual(1);
});

test('a link whose other end fell silent is closed', async t => {
  const server = createServer(socket => socket.on('error', () => undefined));
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const socket = await open((server.address() as AddressInfo).port);
  await new Promise<void>(resolve => {
    new Peer(socket, {}, () => resolve(), PROMPT_KEEPALIVE);
  });
  t.after(() => server.close());
  expect(socket.destroyed).toEqual(true);
});

test('a deeply nested message ends the process or the messages after it', async t => {
  const {port, seen, peers} = await startAcceptor(t);
  const levels = 200_000;
  const nested = '['.repeat(levels) + ']'.repeat(levels);
  const first = await open(port);
  const closed = new Promise(resolve => first.on('close', resolve));
  first.write(`{"jsonrpc":"2.0","method":"note","params":${nested}}\n`);
  first.write(`${nested}\n`);
  await Promise.race([closed, delay(500)]);
  const second = await open(port);
  second.write(serializeNotification('note', {}) + '\n');
  await delay(200);
  expect(seen.notes >= 1).toEqual(true);
  expect(peers.length).toEqual(2);
});

test('a long line arrives otherwise than it was sent, or is sent as it is', async t => {
  const {port, seen, peers} = await startAcceptor(t);
  const socket = await open(port);
  const opener = new Peer(socket, {}, () => undefined, PROMPT_KEEPALIVE);
  t.after(() => opener.close());
  const line = serializeNotification('note', {text: 'x'.repeat(100_000)});
  opener.notifyLine(line);
  while (seen.notes < 1) await delay(5);
  const plainBytes = socket.bytesWritten;
  expect(plainBytes >= line.length).toEqual(true);
  await opener.askFeatures();
  opener.notifyLine(line);
  while (seen.notes < 2) await delay(5);
  expect(socket.bytesWritten - plainBytes < line.length / 10).toEqual(true);
  expect(peers[0]!.isClosed).toEqual(false);
});

test('a side of an earlier build is sent what it cannot read', async t => {
  const server = createServer(socket => {
    socket.on('data', data => {
      const text = data.toString();
      const id = /"id":(\d+)/.exec(text)?.[1];
      const error = '{"code":-32601,"message":"Method not found"}';
      if (id) socket.write(`{"jsonrpc":"2.0","id":${id},"error":${error}}\n`);
    });
    socket.on('error', () => undefined);
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.after(() => server.close());
  const socket = await open((server.address() as AddressInfo).port);
  const opener = new Peer(socket, {}, () => undefined, PROMPT_KEEPALIVE);
  t.after(() => opener.close());
  await opener.askFeatures();
  const line = serializeNotification('note', {text: 'x'.repeat(100_000)});
  opener.notifyLine(line);
  while (socket.bytesWritten < line.length) await delay(5);
  expect(opener.isClosed).toEqual(false);
});

test('a deflated line that is damaged ends the process, or is ignored', async t => {
  const {port, seen, peers} = await startAcceptor(t);
  const socket = await open(port);
  socket.write(serializeNotification('note', {}));
  socket.write(serializeNotification('deflated', {line: 'AAAA'}));
  while (seen.closed < 1) await delay(5);
  expect(peers[0]!.closeReason).toEqual('invalid');
});

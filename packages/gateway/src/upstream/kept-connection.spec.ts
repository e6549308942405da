/** Connections to targets that are kept for the next request. */
import {expect} from 'earl';
import {test, type TestContext} from 'node:test';
import type {Socket} from 'node:net';
import type {RequestKind} from '../routes/index.js';
import {call, startTestGateway} from '../testing/gateway.js';
import {
  completeResponse,
  startScriptedTarget,
} from '../testing/scripted-target.js';

/** Calls twice; the target answers the second call after a while. */
async function callTwice(
  t: TestContext,
  kind: RequestKind,
  answerFirst: (socket: Socket) => void,
  secondAfterMs: number,
) {
  const sockets = new Set<Socket>();
  const target = await startScriptedTarget(({socket, number}) => {
    sockets.add(socket);
    if (number === 1) answerFirst(socket);
    else setTimeout(() => socket.write(completeResponse('x')), secondAfterMs);
  });
  const gateway = await startTestGateway({kind, targets: [target]});
  t.after(() => {
    gateway.close();
    target.close();
  });
  const first = await call(gateway.port);
  const second = await call(gateway.port);
  return {first, second, connections: sockets.size};
}

// Guards against a request that ends with a timer of the one before it.
test('a head that came in two parts does not end the next request', async t => {
  const answer = completeResponse('whole');
  const {first, second, connections} = await callTwice(
    t,
    'unsafe',
    socket => {
      socket.write(answer.slice(0, 20));
      setTimeout(() => socket.write(answer.slice(20)), 50);
    },
    2_200,
  );
  expect([first.status, second.status, connections]).toEqual([200, 200, 1]);
});

// Guards against a request whose answer is never read.
test('a connection that was paused until its last byte is read again', async t => {
  const event = (id: number) => `id: ${id}\ndata: ${'x'.repeat(1_000)}\n\n`;
  const body = Array.from({length: 60}, (_, i) => event(i + 1)).join('');
  const {first, second, connections} = await callTwice(
    t,
    'stream',
    socket => socket.write(completeResponse(body)),
    0,
  );
  expect([first.status, first.body.length]).toEqual([200, body.length]);
  expect([second.status, connections]).toEqual([200, 1]);
});

/** Refusals that a target writes once more on a kept connection. */
import {expect} from 'earl';
import {test, type TestContext} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {call, startTestGateway} from '../testing/gateway.js';
import {
  completeResponse,
  startScriptedTarget,
  type ReceivedRequest,
} from '../testing/scripted-target.js';

/** After this time a target that refused a request is chosen again. */
const AVOID_REFUSING_MS = 400;

const refusal = (id?: string) =>
  completeResponse(
    '',
    ['Not-Run: 1', ...(id ? [`Attempt: ${id}`] : [])],
    '503 Busy',
  );

/**
 * A target that refuses request `a1`, and writes `stale` before it runs the next
 * one on the same connection; and a second target.
 */
async function setUp(t: TestContext, stale: string) {
  const first = await startScriptedTarget(({head, socket}: ReceivedRequest) => {
    if (/attempt: a1/i.test(head)) socket.write(refusal('a1'));
    else socket.write(stale + completeResponse('ran', ['Attempt: a2']));
  });
  const second = await startScriptedTarget(({socket, head}) => {
    const id = /attempt: (\w+)/i.exec(head)![1]!;
    socket.write(completeResponse('second', [`Attempt: ${id}`]));
  });
  const gateway = await startTestGateway({
    kind: 'unsafe',
    targets: [first, second],
  });
  t.after(() => {
    gateway.close();
    first.close();
    second.close();
  });
  await call(gateway.port, {attemptId: 'a1'});
  await delay(AVOID_REFUSING_MS);
  return {gateway, first, second};
}

test('an earlier refusal with its own id makes a request run twice', async t => {
  const {gateway, first, second} = await setUp(t, refusal('a1'));
  const response = await call(gateway.port, {attemptId: 'a2'});
  expect(first.received.length).toEqual(2);
  expect(response.body).toEqual('ran');
  expect(second.received.length).toEqual(1);
});

test('an earlier refusal without an id makes a request run twice, or calls it not run', async t => {
  const {gateway, first, second} = await setUp(t, refusal());
  const response = await call(gateway.port, {attemptId: 'a2'});
  expect(first.received.length).toEqual(2);
  expect(response.status).toEqual(502);
  expect(second.received.length).toEqual(1);
});

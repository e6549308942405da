/** A target that started anew refuses a request for the earlier start, twice. */
import {expect} from 'earl';
import {test, type TestContext} from 'node:test';
import type {Socket} from 'node:net';
import {
  serviceId,
  silentLogger,
  targetId,
  zoneId,
  type TargetId,
} from '@samphirefield/core';
import {
  call,
  completeResponse,
  startScriptedTarget,
  type ReceivedRequest,
  type ScriptedTarget,
} from '@samphirefield/gateway/testing';
import {until, type TestCluster} from './testing/cluster.js';
import {KEYS, startRoutedCluster} from './testing/gateways.js';

const SERVICE = serviceId('desk');
const EARLIER = targetId('earlier');
const LATER = targetId('later');
const NEIGHBOUR = targetId('neighbour');
const WORK_MS = 40;
const LINES = ['Attempt: a1'];
const REFUSAL = completeResponse(
  '',
  ['Not-Run: 1', ...LINES],
  '421 Misdirected',
);

const run = ({socket}: ReceivedRequest) =>
  socket.write(completeResponse('ran', LINES));

async function setUp(t: TestContext) {
  const routed = {
    kind: 'unsafe',
    services: [SERVICE],
    isEngine: false,
  } as const;
  const {cluster, gateways} = await startRoutedCluster(t, routed, silentLogger);
  const [{entry, port}] = gateways as [(typeof gateways)[0]];
  const announce = async (id: TargetId, target: ScriptedTarget) => {
    announceAt(cluster, id, target);
    const isKnown = () => entry.findTarget(id)?.announcement.state === 'ready';
    await until(`${id} is known`, isKnown);
  };
  return {port, announce};
}

function announceAt(
  {controls}: TestCluster,
  id: TargetId,
  {host, port}: ScriptedTarget,
): void {
  const [control] = controls.values();
  control!.announce({
    id,
    bornMs: Date.now(),
    sequence: 1,
    service: SERVICE,
    host,
    port,
    zone: zoneId('z0'),
    slots: 8,
    state: 'ready',
    coldLeftMs: 0,
  });
}

test('a request runs twice when the copy of a refusal meets it on the same connection', async t => {
  const {port, announce} = await setUp(t);
  let refused: Socket | undefined;
  const refuse = async ({socket}: ReceivedRequest) => {
    refused = socket;
    await announce(LATER, target);
    socket.write(REFUSAL);
  };
  const refuseAgainAndRun = async (request: ReceivedRequest) => {
    await announce(NEIGHBOUR, neighbour);
    refused!.write(REFUSAL);
    setTimeout(() => run(request), WORK_MS);
  };
  const target = await startScriptedTarget(request => {
    void (refused ? refuseAgainAndRun(request) : refuse(request));
  });
  const neighbour = await startScriptedTarget(run);
  t.after(() => [target, neighbour].forEach(started => started.close()));
  await announce(EARLIER, target);
  const response = await call(port, {headers: {key: KEYS[0]}});
  expect([response.status, response.body]).toEqual([200, 'ran']);
  expect([target.received.length, neighbour.received.length]).toEqual([2, 0]);
});

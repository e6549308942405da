/** A target whose announcement another writer got wrong. */
import {expect} from 'earl';
import {test} from 'node:test';
import {call, startTestGateway} from '../testing/gateway.js';
import {
  completeResponse,
  startScriptedTarget,
  type ScriptedTarget,
} from '../testing/scripted-target.js';

const oddTarget = (host: string, port: number): ScriptedTarget => ({
  host,
  port,
  received: [],
  close: () => undefined,
});

const ODD = [
  ['127.0.0.1', 99_999],
  ['127.0.0.1', -1],
  ['127.0.0.1', Number.NaN],
  ['not an address', 80],
] as const;

for (const [host, port] of ODD) {
  test(`a target at ${host}, port ${port}, cuts its caller off and keeps its place`, async t => {
    const sound = await startScriptedTarget(({socket}) =>
      socket.write(completeResponse('done')),
    );
    const targets = [oddTarget(host, port), sound];
    const gateway = await startTestGateway({kind: 'unsafe', targets});
    t.after(() => {
      gateway.close();
      sound.close();
    });
    const response = await call(gateway.port, {attemptId: 'a1'});
    expect([response.status, response.body]).toEqual([200, 'done']);
    expect(gateway.heldRunCount()).toEqual(0);
  });
}

/**
 * Guards against "not run" for a request that may have run: its first run was
 * lost, and its repeat got no target or was rejected.
 */
import {expect} from 'earl';
import {test} from 'node:test';
import {call, startTestGateway} from '../testing/gateway.js';
import {
  completeResponse,
  startScriptedTarget,
  type ReceivedRequest,
} from '../testing/scripted-target.js';

type Script = (request: ReceivedRequest) => void;

const lost: Script = ({socket}) => socket.destroy();
const rejected: Script = ({socket}) =>
  socket.write(completeResponse('', ['Not-Run: 1', 'Attempt: a1'], '503 Busy'));

for (const [name, scripts] of [
  ['no target is left', [lost]],
  ['another target rejected the repeat', [lost, rejected]],
] as const) {
  test(`a run that was lost is not reported as not run: ${name}`, async t => {
    const targets = await Promise.all(scripts.map(startScriptedTarget));
    const gateway = await startTestGateway({kind: 'safe', targets});
    t.after(() => {
      gateway.close();
      for (const target of targets) target.close();
    });
    const response = await call(gateway.port);
    expect(response.status).toEqual(502);
  });
}

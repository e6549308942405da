/** Orders to load models, end to end. */
import {expect} from 'earl';
import {test} from 'node:test';
import {FakeEngine} from '@samphirefield/fakes';
import {
  generationBody,
  INTERNAL_KEY,
  post,
  parseStream,
  RULES,
  TestDeployment,
  waitFor,
} from '../testing/index.js';

const CHAT = '/v1/chat/completions';

async function withEngines(
  rules: string,
  ignoresEpochs: boolean,
  run: (deployment: TestDeployment, engines: FakeEngine[]) => Promise<void>,
): Promise<void> {
  const deployment = await TestDeployment.start({voters: 1});
  const engines = await Promise.all(
    ['e1', 'e2'].map(target =>
      FakeEngine.start({
        target,
        zone: 'zone-a',
        service: 'models',
        models: [{model: 'large', version: '1'}],
        daemons: deployment.internalUrls,
        key: INTERNAL_KEY,
        announceMs: 100,
        speed: 8,
        loadMs: 200,
        ignoresEpochs,
      }),
    ),
  );
  try {
    await deployment.waitForTargets(['e1', 'e2']);
    await deployment.applyRules(rules);
    await run(deployment, engines);
  } finally {
    await Promise.all(engines.map(engine => engine.crash()));
    await deployment.close();
  }
}

const VERSION_2 = RULES.replace(
  'model large service=models',
  'model large service=models version=2 targets=2',
);

test('targets are ordered to load a new version one after the other, and then serve it', async () => {
  await withEngines(VERSION_2, false, async (deployment, engines) => {
    const response = await post(
      deployment.daemons[0]!,
      CHAT,
      generationBody(5, true),
    );
    expect(parseStream(response.text).isDone).toEqual(true);
    await waitFor('both targets receive an order', () =>
      engines.every(engine => engine.orders.length === 1),
    );
    for (const engine of engines) {
      expect(
        engine.orders.map(order => [
          order.model,
          order.version,
          order.isAccepted,
        ]),
      ).toEqual([['large', '2', true]]);
    }
  });
});

test('targets that ignore epochs, as the rules declare, receive only the order that their state calls for', async () => {
  const rules = `${VERSION_2}target service=models fencing=ignored orders=unchecked # test: old build\n`;
  await withEngines(rules, true, async (_deployment, engines) => {
    await waitFor('both targets receive an order', () =>
      engines.every(engine => engine.orders.length > 0),
    );
    expect(engines.map(engine => engine.orders.length)).toEqual([1, 1]);
  });
});

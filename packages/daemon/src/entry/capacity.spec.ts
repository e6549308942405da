/**
 * Capacity of targets: cold starts, targets that turn cold, draining, poison
 * requests, full queues, announcements.
 */
import {expect} from 'earl';
import {test} from 'node:test';
import {request} from 'undici';
import {FakeEngine, type FakeEngineOptions} from '@samphirefield/fakes';
import {
  API_KEY,
  expectedWords,
  generationBody,
  INTERNAL_KEY,
  post,
  parseStream,
  RULES,
  TestDeployment,
  waitFor,
  type DeploymentOptions,
} from '../testing/index.js';

const CHAT = '/v1/chat/completions';
type StartEngine = (
  target: string,
  options?: Partial<FakeEngineOptions>,
) => Promise<FakeEngine>;

async function withEngines(
  options: DeploymentOptions,
  run: (deployment: TestDeployment, start: StartEngine) => Promise<void>,
): Promise<void> {
  const deployment = await TestDeployment.start({
    voters: 1,
    entries: 1,
    ...options,
  });
  const engines: FakeEngine[] = [];
  const start: StartEngine = async (target, overrides = {}) => {
    const engine = await FakeEngine.start({
      target,
      zone: 'zone-a',
      service: 'models',
      models: [{model: 'large', version: '1'}],
      daemons: deployment.internalUrls,
      key: INTERNAL_KEY,
      announceMs: 100,
      speed: 4,
      ...overrides,
    });
    engines.push(engine);
    return engine;
  };
  try {
    await run(deployment, start);
  } finally {
    await Promise.all(engines.map(engine => engine.crash()));
    await deployment.close();
  }
}

test('a cold target is never sent more than its cold limit by all entries together', async () => {
  await withEngines({}, async (deployment, start) => {
    const engine = await start('cold', {
      isWarm: false,
      config: {warmUpSteps: 120, coldSlots: 2},
    });
    await deployment.waitForTargets(['cold']);
    const responses = await Promise.all(
      Array.from({length: 24}, (_, index) =>
        post(
          deployment.daemons[index % 2]!,
          CHAT,
          generationBody(15, true, `${index}`),
        ),
      ),
    );
    for (const response of responses)
      expect(parseStream(response.text).words).toEqual(expectedWords(15));
    expect(engine.engine.mostWhileCold <= 2).toEqual(true);
    expect(engine.startedCount).toEqual(24);
  });
});

test('a warm target that turns cold gets no more than its cold limit once grants are reduced', async () => {
  await withEngines({}, async (deployment, start) => {
    const engine = await start('t', {config: {warmUpSteps: 1_000_000}});
    await deployment.waitForTargets(['t']);
    engine.turnCold();
    await waitFor(
      'the leader reduces its grants',
      async () => (await deployment.status()).targets[0]!.grantedSlots <= 2,
    );
    engine.engine.mostWhileCold = 0;
    await Promise.all(
      Array.from({length: 12}, (_, index) =>
        post(
          deployment.daemons[index % 2]!,
          CHAT,
          generationBody(5, true, `${index}`),
        ),
      ),
    );
    expect(engine.engine.mostWhileCold <= 2).toEqual(true);
  });
});

test('a draining target gets no new requests, and its streams complete', async () => {
  await withEngines({}, async (deployment, start) => {
    const draining = await start('draining');
    await deployment.waitForTargets(['draining']);
    const running = post(
      deployment.daemons[0]!,
      CHAT,
      generationBody(250, true),
    );
    await waitFor('the request runs', () => draining.engine.running.size === 1);
    const staying = await start('staying');
    await deployment.waitForTargets(['staying']);
    draining.leavingInMs = 20_000;
    await draining.announce();
    await waitFor('the draining target has no capacity', async () => {
      const row = (await deployment.status()).targets.find(
        target => target.target === 'draining',
      )!;
      return row.bearsSlots === 0 && row.grantedSlots <= 1;
    });
    const started = draining.startedCount;
    for (let index = 0; index < 6; index += 1) {
      await post(
        deployment.daemons[index % 2]!,
        CHAT,
        generationBody(3, true, `${index}`),
      );
    }
    expect(draining.startedCount).toEqual(started);
    expect(staying.startedCount).toEqual(6);
    expect(parseStream((await running).text).words).toEqual(expectedWords(250));
  });
});

test('a poison request crashes at most two targets, and its neighbours are served', async () => {
  const settings = '[timing]\nstream_silence_ms = 700';
  await withEngines({settings}, async (deployment, start) => {
    const engines = await Promise.all(
      ['p1', 'p2', 'p3', 'p4'].map(target => start(target)),
    );
    for (const engine of engines) engine.faults.poisonText = 'poison-text';
    await deployment.waitForTargets(['p1', 'p2', 'p3', 'p4']);
    const neighbours = Array.from({length: 6}, (_, index) =>
      post(
        deployment.daemons[index % 2]!,
        CHAT,
        generationBody(150, false, `neighbour ${index}`),
      ),
    );
    await waitFor(
      'the neighbours run',
      () =>
        engines.reduce((sum, engine) => sum + engine.engine.running.size, 0) ===
        6,
    );
    const poison = generationBody(5, true, 'poison-text');
    const first = await post(deployment.daemons[0]!, CHAT, poison);
    expect(first.status >= 400).toEqual(true);
    const countDead = async () => {
      const alive = await Promise.all(
        engines.map(engine =>
          request(`${engine.url}/healthz`).then(
            response => response.body.dump().then(() => true),
            () => false,
          ),
        ),
      );
      return alive.filter(isAlive => !isAlive).length;
    };
    // The caller repeats it at once, through both entries.
    for (let index = 0; index < 6; index += 1) {
      const again = await post(
        deployment.daemons[(index + 1) % 2]!,
        CHAT,
        poison,
      );
      expect(again.status >= 400).toEqual(true);
    }
    const refused = await post(deployment.daemons[1]!, CHAT, poison);
    expect(
      (JSON.parse(refused.text) as {error: {code: string}}).error.code,
    ).toEqual('quarantined');
    expect((await countDead()) <= 2).toEqual(true);
    for (const response of await Promise.all(neighbours)) {
      const body = JSON.parse(response.text) as {
        choices: Array<{message: {content: string}}>;
      };
      expect(body.choices[0]!.message.content.trim().split(' ')).toEqual(
        expectedWords(150),
      );
    }
  });
});

test('full queues refuse requests with Retry-After', async () => {
  const rules = RULES.replace('path=/v1 queue=500', 'path=/v1 queue=2');
  await withEngines({entries: 0, rules}, async (deployment, start) => {
    await start('small', {config: {slots: 1, coldSlots: 1}});
    await deployment.waitForTargets(['small']);
    const responses = await Promise.all(
      Array.from({length: 8}, (_, index) =>
        post(
          deployment.daemons[0]!,
          CHAT,
          generationBody(20, true, `${index}`),
        ),
      ),
    );
    const refused = responses.filter(response => response.status === 429);
    expect(
      responses.filter(response => response.status === 200).length,
    ).toEqual(3);
    expect(refused.length).toEqual(5);
    for (const response of refused) {
      expect(response.headers['retry-after']).toEqual('2');
      expect((JSON.parse(response.text) as {not_run: boolean}).not_run).toEqual(
        true,
      );
    }
  });
});

test('announcements are validated and need the key of targets', async () => {
  await withEngines({entries: 0}, async deployment => {
    const announce = async (key: string, body: string) => {
      const response = await request(
        `${deployment.daemons[0]!.internalUrl}/targets/announce`,
        {
          method: 'POST',
          headers: {
            authorization: `Bearer ${key}`,
            'content-type': 'application/json',
          },
          body,
        },
      );
      return {status: response.statusCode, text: await response.body.text()};
    };
    expect((await announce('wrong', '{}')).status).toEqual(401);
    expect((await announce(API_KEY, '{}')).status).toEqual(401);
    expect((await announce(INTERNAL_KEY, '{')).status).toEqual(400);
    const invalid = await announce(
      INTERNAL_KEY,
      JSON.stringify({target: 't', slots: -1}),
    );
    expect(invalid.status).toEqual(400);
  });
});

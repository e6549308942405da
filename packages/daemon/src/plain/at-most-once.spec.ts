/** Requests that may not be repeated: repeats, lost answers, deaths, no ledger. */
import {expect} from 'earl';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {FakePlain} from '@samphirefield/fakes';
import {
  KEY,
  post,
  TestDeployment,
  waitFor,
  type CallerAnswer,
  type DeploymentOptions,
} from '../testing/index.js';

const ORDER = {item: 'grafting wax', kilograms: 2};

interface Setting {
  readonly deployment: TestDeployment;
  readonly desk: FakePlain;
}

async function withDesk(
  options: DeploymentOptions,
  run: (setting: Setting) => Promise<void>,
): Promise<void> {
  const deployment = await TestDeployment.start({
    settings: '[timing]\nplain_timeout_ms = 6000',
    ...options,
  });
  const desk = await startDesk(deployment, 'desk-1');
  try {
    await deployment.waitForTargets(['desk-1']);
    await run({deployment, desk});
  } finally {
    await desk.crash();
    await deployment.close();
  }
}

function startDesk(
  deployment: TestDeployment,
  target: string,
): Promise<FakePlain> {
  return FakePlain.start({
    target,
    zone: 'zone-a',
    service: 'desk',
    daemons: deployment.internalUrls,
    key: KEY,
    announceMs: 200,
  });
}

const withKey = (key: string) => ({headers: {'idempotency-key': key}});
const bodyOf = (answer: CallerAnswer) =>
  JSON.parse(answer.text) as {
    order?: number;
    not_run?: boolean;
    outcome?: string;
  };
const runsOf = (desk: FakePlain, key: string) =>
  desk.executedCalls.filter(call => call.idempotencyKey === key).length;

test('repeats during, after and through other entries get the one answer', async () => {
  await withDesk({voters: 1, entries: 1}, async ({deployment, desk}) => {
    const [one, two] = deployment.daemons as [never, never];
    const missing = await post(one, '/orders', ORDER);
    expect([missing.status, bodyOf(missing).not_run]).toEqual([400, true]);
    desk.delayMs = 300;
    const impatient = await Promise.all(
      [one, two, one, two, one].map(via =>
        post(via, '/orders', ORDER, withKey('k1')),
      ),
    );
    const later = await post(two, '/orders', ORDER, withKey('k1'));
    for (const answer of [...impatient, later]) {
      expect([answer.status, bodyOf(answer).order]).toEqual([200, 1]);
    }
    expect(runsOf(desk, 'k1')).toEqual(1);
    const other = await post(
      one,
      '/orders',
      {...ORDER, kilograms: 3},
      withKey('k1'),
    );
    expect([other.status, bodyOf(other).not_run]).toEqual([422, true]);
    const next = await post(one, '/orders', ORDER, withKey('k2'));
    expect(bodyOf(next).order).toEqual(2);
  });
});

test('a lost answer is unknown and never runs again', async () => {
  await withDesk({voters: 1, entries: 1}, async ({deployment, desk}) => {
    desk.dropsResponses = true;
    const first = await post(
      deployment.daemons[0]!,
      '/orders',
      ORDER,
      withKey('k'),
    );
    expect([first.status, bodyOf(first).outcome]).toEqual([502, 'unknown']);
    desk.dropsResponses = false;
    for (const via of deployment.daemons) {
      const again = await post(via, '/orders', ORDER, withKey('k'));
      expect(bodyOf(again).outcome).toEqual('unknown');
    }
    expect(runsOf(desk, 'k')).toEqual(1);
  });
});

test('what the target did not run is told so, and may be sent again', async () => {
  await withDesk({voters: 1}, async ({deployment, desk}) => {
    const [daemon] = deployment.daemons;
    desk.rejectsCalls = true;
    const refused = await post(daemon!, '/orders', ORDER, withKey('k'));
    expect([refused.status, bodyOf(refused).not_run]).toEqual([503, true]);
    desk.rejectsCalls = false;
    const again = await waitFor('it runs', async () => {
      const answer = await post(daemon!, '/orders', ORDER, withKey('k'));
      return answer.status === 200 && answer;
    });
    expect(bodyOf(again).order).toEqual(1);
    expect(runsOf(desk, 'k')).toEqual(1);
  });
});

test('a target that dies while it runs leaves the outcome unknown', async () => {
  await withDesk({voters: 1}, async ({deployment, desk}) => {
    desk.delayMs = 5_000;
    const answering = post(
      deployment.daemons[0]!,
      '/orders',
      ORDER,
      withKey('k'),
    );
    await waitFor('it runs', () => runsOf(desk, 'k') === 1);
    const spare = await startDesk(deployment, 'desk-2');
    await deployment.waitForTargets(['desk-2']);
    await desk.crash();
    expect(bodyOf(await answering).outcome).toEqual('unknown');
    const again = await post(
      deployment.daemons[0]!,
      '/orders',
      ORDER,
      withKey('k'),
    );
    expect(bodyOf(again).outcome).toEqual('unknown');
    expect(runsOf(spare, 'k')).toEqual(0);
    await spare.crash();
  });
});

test('the claims of an entry that was killed are unknown for good', async () => {
  await withDesk(
    {voters: 3, entries: 1, mode: 'process'},
    async ({deployment, desk}) => {
      const entry = deployment.daemon('entry-1');
      desk.delayMs = 60_000;
      const lost = post(entry, '/orders', ORDER, withKey('k')).catch(
        () => undefined,
      );
      await waitFor('it runs', () => runsOf(desk, 'k') === 1);
      await deployment.kill(entry);
      await lost;
      desk.delayMs = 0;
      const answer = await waitFor('it is unknown', async () => {
        const repeat = await post(
          deployment.daemons[0]!,
          '/orders',
          ORDER,
          withKey('k'),
        );
        return (
          bodyOf(repeat).outcome === 'unknown' &&
          repeat.status === 502 &&
          repeat
        );
      });
      expect(bodyOf(answer).not_run).toEqual(false);
      await deployment.startDaemon(entry);
      await deployment.waitForReady();
      const again = await post(entry, '/orders', ORDER, withKey('k'));
      expect(bodyOf(again).outcome).toEqual('unknown');
      expect(runsOf(desk, 'k')).toEqual(1);
    },
  );
});

test('kills of the leader between claims run no order twice and lose no answer', async () => {
  await withDesk({voters: 3, mode: 'process'}, async ({deployment, desk}) => {
    for (let round = 0; round < 4; round += 1) {
      const {leader} = await waitFor('a status', () => deployment.status());
      const victim = deployment.daemon(leader);
      const via = deployment.voters.find(voter => voter !== victim)!;
      const keys = Array.from({length: 8}, (_, index) => `r${round}-${index}`);
      const answering = keys.map(key =>
        post(via, '/orders', ORDER, withKey(key)),
      );
      await delay(round * 4);
      await deployment.kill(victim);
      const first = await Promise.all(answering);
      for (const [position, key] of keys.entries()) {
        const final = await waitFor(`${key} is answered`, async () => {
          const answer = await post(via, '/orders', ORDER, withKey(key));
          const isSettled =
            answer.status === 200 || bodyOf(answer).outcome === 'unknown';
          return isSettled && answer;
        });
        expect(runsOf(desk, key) <= 1).toEqual(true);
        const told = first[position]!;
        if (told.status === 200) expect(final.text).toEqual(told.text);
      }
      await deployment.startDaemon(victim);
      await deployment.waitForVoters(3, via);
      await deployment.waitForReady();
    }
  });
});

test('without a ledger nothing runs, and that is what callers are told', async () => {
  await withDesk(
    {voters: 3, entries: 1, mode: 'process'},
    async ({deployment, desk}) => {
      for (const voter of deployment.voters.slice(0, 2))
        await deployment.kill(voter);
      const answers = await Promise.all(
        ['a', 'b'].map(key =>
          post(deployment.daemon('entry-1'), '/orders', ORDER, withKey(key)),
        ),
      );
      for (const answer of answers)
        expect([answer.status, bodyOf(answer).not_run]).toEqual([503, true]);
      expect(desk.executedCalls.length).toEqual(0);
    },
  );
});

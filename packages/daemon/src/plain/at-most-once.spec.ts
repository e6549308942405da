/**
 * Requests that must run at most once: repeats, lost responses, crashes, ledger
 * unreachable.
 */
import {expect} from 'earl';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {FakePlain} from '@samphirefield/fakes';
import {
  INTERNAL_KEY,
  post,
  TestDeployment,
  waitFor,
  type CallerResponse,
  type DeploymentOptions,
} from '../testing/index.js';

const ORDER = {item: 'grafting wax', kilograms: 2};

interface DeskFixture {
  readonly deployment: TestDeployment;
  readonly desk: FakePlain;
}

async function withDesk(
  options: DeploymentOptions,
  run: (fixture: DeskFixture) => Promise<void>,
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
    key: INTERNAL_KEY,
    announceMs: 200,
  });
}

const withKey = (key: string) => ({headers: {'idempotency-key': key}});
const bodyOf = (response: CallerResponse) =>
  JSON.parse(response.text) as {
    order?: number;
    not_run?: boolean;
    outcome?: string;
  };
const runsOf = (desk: FakePlain, key: string) =>
  desk.executedCalls.filter(call => call.idempotencyKey === key).length;

test('repeats during, after and through other entries get the same response', async () => {
  await withDesk({voters: 1, entries: 1}, async ({deployment, desk}) => {
    const [one, two] = deployment.daemons as [never, never];
    const missing = await post(one, '/orders', ORDER);
    expect([missing.status, bodyOf(missing).not_run]).toEqual([400, true]);
    desk.delayMs = 300;
    const concurrent = await Promise.all(
      [one, two, one, two, one].map(via =>
        post(via, '/orders', ORDER, withKey('k1')),
      ),
    );
    const later = await post(two, '/orders', ORDER, withKey('k1'));
    for (const response of [...concurrent, later]) {
      expect([response.status, bodyOf(response).order]).toEqual([200, 1]);
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

// Guards against a response that is lost to a byte of its content type.
test('a content type that no header may hold costs the caller no response', async () => {
  await withDesk({voters: 1, entries: 1}, async ({deployment, desk}) => {
    desk.contentType = Buffer.from('text/it’s').toString('latin1');
    const response = await post(
      deployment.daemons[0]!,
      '/orders',
      ORDER,
      withKey('k'),
    );
    expect([response.status, bodyOf(response).order]).toEqual([200, 1]);
  });
});

test('a request whose response is lost has an unknown outcome and never runs again', async () => {
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

test('a request that the target refused is reported as not run and may be sent again', async () => {
  await withDesk({voters: 1}, async ({deployment, desk}) => {
    const [daemon] = deployment.daemons;
    desk.rejectsCalls = true;
    const refused = await post(daemon!, '/orders', ORDER, withKey('k'));
    expect([refused.status, bodyOf(refused).not_run]).toEqual([503, true]);
    desk.rejectsCalls = false;
    const again = await waitFor('the request runs', async () => {
      const response = await post(daemon!, '/orders', ORDER, withKey('k'));
      return response.status === 200 && response;
    });
    expect(bodyOf(again).order).toEqual(1);
    expect(runsOf(desk, 'k')).toEqual(1);
  });
});

test('a target that crashes while running a request leaves the outcome unknown', async () => {
  await withDesk({voters: 1}, async ({deployment, desk}) => {
    desk.delayMs = 5_000;
    const pending = post(
      deployment.daemons[0]!,
      '/orders',
      ORDER,
      withKey('k'),
    );
    await waitFor('the request runs', () => runsOf(desk, 'k') === 1);
    const spare = await startDesk(deployment, 'desk-2');
    await deployment.waitForTargets(['desk-2']);
    await desk.crash();
    expect(bodyOf(await pending).outcome).toEqual('unknown');
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

test('the claims of an entry that was killed stay unknown', async () => {
  await withDesk(
    {voters: 3, entries: 1, mode: 'process'},
    async ({deployment, desk}) => {
      const entry = deployment.daemon('entry-1');
      desk.delayMs = 60_000;
      const unanswered = post(entry, '/orders', ORDER, withKey('k')).catch(
        () => undefined,
      );
      await waitFor('the request runs', () => runsOf(desk, 'k') === 1);
      await deployment.kill(entry);
      await unanswered;
      desk.delayMs = 0;
      const response = await waitFor('the outcome is unknown', async () => {
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
      expect(bodyOf(response).not_run).toEqual(false);
      await deployment.startDaemon(entry);
      await deployment.waitForReady();
      const again = await post(entry, '/orders', ORDER, withKey('k'));
      expect(bodyOf(again).outcome).toEqual('unknown');
      expect(runsOf(desk, 'k')).toEqual(1);
    },
  );
});

test('killing the leader between claims runs no order twice and loses no response', async () => {
  await withDesk({voters: 3, mode: 'process'}, async ({deployment, desk}) => {
    for (let round = 0; round < 4; round += 1) {
      const {leader} = await waitFor('a status', () => deployment.status());
      const victim = deployment.daemon(leader);
      const via = deployment.voters.find(voter => voter !== victim)!;
      const keys = Array.from({length: 8}, (_, index) => `r${round}-${index}`);
      const pending = keys.map(key =>
        post(via, '/orders', ORDER, withKey(key)),
      );
      await delay(round * 4);
      await deployment.kill(victim);
      const first = await Promise.all(pending);
      for (const [position, key] of keys.entries()) {
        const final = await waitFor(`${key} has an outcome`, async () => {
          const response = await post(via, '/orders', ORDER, withKey(key));
          const isSettled =
            response.status === 200 || bodyOf(response).outcome === 'unknown';
          return isSettled && response;
        });
        expect(runsOf(desk, key) <= 1).toEqual(true);
        const initial = first[position]!;
        if (initial.status === 200) expect(final.text).toEqual(initial.text);
      }
      await deployment.startDaemon(victim);
      await deployment.waitForVoters(3, via);
      await deployment.waitForReady();
    }
  });
});

test('without a ledger nothing runs, and callers get `not_run`', async () => {
  await withDesk(
    {voters: 3, entries: 1, mode: 'process'},
    async ({deployment, desk}) => {
      for (const voter of deployment.voters.slice(0, 2))
        await deployment.kill(voter);
      const responses = await Promise.all(
        ['a', 'b'].map(key =>
          post(deployment.daemon('entry-1'), '/orders', ORDER, withKey(key)),
        ),
      );
      for (const response of responses)
        expect([response.status, bodyOf(response).not_run]).toEqual([
          503,
          true,
        ]);
      expect(desk.executedCalls.length).toEqual(0);
    },
  );
});

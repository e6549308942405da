/**
 * The control group under failure, with real processes: kills, freezes, silent
 * partitions, lost disks, concurrent operators, resent commands, planned stops.
 */
import {expect} from 'earl';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {createRandom} from '@samphirefield/replication/fuzz';
import {FakeEngine} from '@samphirefield/fakes';
import {zoneId} from '@samphirefield/core';
import {
  generationBody,
  INTERNAL_KEY,
  post,
  parseStream,
  RULES,
  TestDeployment,
  waitFor,
  type TestDaemon,
} from '../testing/index.js';

const CHAT = '/v1/chat/completions';

async function withDeployment(
  options: Parameters<typeof TestDeployment.start>[0],
  run: (deployment: TestDeployment) => Promise<void>,
): Promise<void> {
  const deployment = await TestDeployment.start({mode: 'process', ...options});
  try {
    await run(deployment);
  } finally {
    await deployment.close();
  }
}

async function leaderOf(
  deployment: TestDeployment,
  via: TestDaemon,
): Promise<TestDaemon> {
  const {leader} = await deployment.status(via);
  return deployment.daemon(leader);
}

/** Returns a voter that is not the leader. */
async function followerOf(
  deployment: TestDeployment,
  via: TestDaemon,
): Promise<TestDaemon> {
  const leader = await leaderOf(deployment, via);
  return deployment.voters.find(voter => voter !== leader)!;
}

function startEngines(
  deployment: TestDeployment,
  zones: readonly string[],
): Promise<FakeEngine[]> {
  return Promise.all(
    zones.map(zone =>
      FakeEngine.start({
        target: `engine-${zone}`,
        zone,
        service: 'models',
        models: [{model: 'large', version: '1'}],
        daemons: deployment.internalUrls,
        key: INTERNAL_KEY,
        announceMs: 200,
        speed: 8,
      }),
    ),
  );
}

test('accepted commands survive kills of the leader in the middle of commands', async () => {
  await withDeployment({}, async deployment => {
    const random = createRandom(7);
    let revision = await deployment.revision();
    for (let round = 0; round < 8; round += 1) {
      const leader = await waitFor('a leader', () =>
        leaderOf(deployment, deployment.daemons[0]!),
      );
      const via = deployment.voters.find(voter => voter !== leader)!;
      const commandId = `kill-${round}`;
      const base = await waitFor('a revision', () => deployment.revision(via));
      expect(base >= revision).toEqual(true);
      const change = {
        kind: 'apply_rules' as const,
        text: `${RULES}# round ${round}\n`,
      };
      const first = deployment
        .sendCommand(via, change, base, commandId)
        .catch(() => undefined);
      await delay(random.below(25));
      await deployment.kill(leader);
      const firstResponse = await first;
      const result = await waitFor('a result of the command', async () => {
        const response = await deployment.sendCommand(
          via,
          change,
          base,
          commandId,
        );
        return response.body.answer;
      });
      expect(result.kind).toEqual('accepted');
      if (firstResponse?.body.answer)
        expect(firstResponse.body.answer).toEqual(result);
      revision = result.revision;
      expect(revision).toEqual(base + 1);
      await deployment.startDaemon(leader);
      await deployment.waitForVoters(3, via);
    }
    for (const voter of deployment.voters) await deployment.kill(voter);
    for (const voter of [...deployment.voters].reverse())
      await deployment.startDaemon(voter);
    const after = await waitFor('a leader', () => deployment.revision());
    expect(after).toEqual(revision);
  });
});

for (const role of ['leader', 'follower', 'entry'] as const) {
  test(`during a silent partition of the ${role}, a zone that is out gets no new work`, async () => {
    await withDeployment({entries: 1}, async deployment => {
      const engines = await startEngines(deployment, ['zone-a', 'zone-b']);
      const targets = ['engine-zone-a', 'engine-zone-b'];
      await deployment.waitForTargets(targets);
      const first = deployment.daemons[0]!;
      const isolated =
        role === 'entry'
          ? deployment.daemon('entry-1')
          : role === 'leader'
            ? await leaderOf(deployment, first)
            : await followerOf(deployment, first);
      const via = deployment.voters.find(voter => voter !== isolated)!;
      const before = await post(isolated, CHAT, generationBody(3, true));
      expect(before.status).toEqual(200);
      deployment.partition(isolated);
      await waitFor(
        'the other daemons have a leader',
        async () => (await deployment.status(via)).leader !== isolated.id,
      );
      await deployment.applyChange(
        {kind: 'zone', zone: zoneId('zone-a'), isOut: true},
        via,
      );
      const started = engines[0]!.startedCount;
      // The change is in effect everywhere: no daemon may send new requests to
      // zone-a while the partition lasts or after it.
      for (let round = 0; round < 10; round += 1) {
        const response = await post(
          isolated,
          CHAT,
          generationBody(2, true, `cut ${round}`),
        );
        expect(response.status).toEqual(503);
        expect(
          (JSON.parse(response.text) as {not_run: boolean}).not_run,
        ).toEqual(true);
      }
      expect(engines[0]!.startedCount).toEqual(started);
      deployment.heal();
      await deployment.waitForReady([isolated]);
      for (let round = 0; round < 10; round += 1) {
        const response = await post(
          isolated,
          CHAT,
          generationBody(2, true, `healed ${round}`),
        );
        expect(parseStream(response.text).isDone).toEqual(true);
      }
      expect(engines[0]!.startedCount).toEqual(started);
      await Promise.all(engines.map(engine => engine.crash()));
    });
  });
}

test('a leader frozen past its lease and resumed does not act as the leader', async () => {
  await withDeployment({}, async deployment => {
    const engines = await startEngines(deployment, ['zone-a', 'zone-b']);
    await deployment.waitForTargets(['engine-zone-a', 'engine-zone-b']);
    const leader = await leaderOf(deployment, deployment.daemons[0]!);
    const via = deployment.voters.find(voter => voter !== leader)!;
    deployment.suspend(leader);
    await waitFor(
      'the other daemons have a leader',
      async () => (await deployment.status(via)).leader !== leader.id,
    );
    await deployment.applyChange(
      {kind: 'zone', zone: zoneId('zone-a'), isOut: true},
      via,
    );
    const started = engines[0]!.startedCount;
    // These requests wait in the frozen process, which handles them as soon as
    // it resumes.
    const waiting = Array.from({length: 20}, (_, index) =>
      post(leader, CHAT, generationBody(2, true, `frozen ${index}`)),
    );
    await delay(100);
    deployment.resume(leader);
    const responses = await Promise.all(waiting);
    expect(
      responses.every(
        response => response.status === 503 || response.status === 200,
      ),
    ).toEqual(true);
    expect(engines[0]!.startedCount).toEqual(started);
    const revision = await waitFor('the old leader follows', () =>
      deployment.revision(leader),
    );
    expect(revision).toEqual(await deployment.revision(via));
    await Promise.all(engines.map(engine => engine.crash()));
  });
});

test('a voter with a lost disk is replaced, and a second voter may fail right after', async () => {
  await withDeployment({}, async deployment => {
    const revision = await deployment.applyRules(`${RULES}# before the loss\n`);
    const wiped = await followerOf(deployment, deployment.daemons[0]!);
    const via = await leaderOf(deployment, deployment.daemons[0]!);
    const before = (await deployment.status(via)).members.map(
      member => member.replica,
    );
    await deployment.kill(wiped);
    deployment.deleteData(wiped);
    await deployment.startDaemon(wiped);
    await waitFor('the replica on the new disk is a voter', async () => {
      const {members} = await deployment.status(via);
      const voters = members.filter(member => member.role === 'voter');
      const fresh = voters.filter(member => !before.includes(member.replica));
      return fresh.length === 1 && voters.length === 3 && members.length === 3;
    });
    const second = deployment.voters.find(
      voter => voter !== wiped && voter !== via,
    )!;
    await deployment.kill(second);
    expect(await waitFor('a revision', () => deployment.revision(via))).toEqual(
      revision,
    );
    const next = await deployment.applyChange(
      {kind: 'zone', zone: zoneId('zone-c'), isOut: true},
      via,
    );
    expect(next).toEqual(revision + 1);
  });
});

test('wiped disks on a majority form no empty group, and the refusal says why', async () => {
  await withDeployment({}, async deployment => {
    const [one, two, kept] = deployment.voters as [
      TestDaemon,
      TestDaemon,
      TestDaemon,
    ];
    for (const voter of [one, two]) {
      await deployment.kill(voter);
      deployment.deleteData(voter);
    }
    for (const voter of [one, two]) await deployment.startDaemon(voter);
    const refused = await deployment.callOperatorApi(
      one,
      'POST',
      '/operator/bootstrap',
      {},
    );
    expect(refused.status).toEqual(409);
    expect(JSON.stringify(refused.body)).toMatchRegex(
      /already a member of a group/,
    );
    await delay(3_000);
    const response = await deployment.callOperatorApi(
      kept,
      'GET',
      '/operator/config',
    );
    expect(response.status).toEqual(503);
  });
});

test('of two changes with the same base revision one is accepted, and resends change nothing', async () => {
  await withDeployment({entries: 1}, async deployment => {
    const [one, two] = deployment.daemons as [TestDaemon, TestDaemon];
    for (let round = 0; round < 5; round += 1) {
      const base = await deployment.revision();
      const texts = [0, 1].map(
        side => `${RULES}# round ${round} side ${side}\n`,
      );
      const responses = await Promise.all(
        [one, two].map((via, side) =>
          deployment.sendCommand(
            via,
            {kind: 'apply_rules', text: texts[side]!},
            base,
            `race-${round}-${side}`,
          ),
        ),
      );
      const kinds = responses
        .map(response => response.body.answer!.kind)
        .sort();
      expect(kinds).toEqual(['accepted', 'conflict']);
      const loser = responses.find(
        response => response.body.answer!.kind === 'conflict',
      )!.body.answer!;
      if (loser.kind === 'conflict') {
        expect(loser.changesSince.map(change => change.revision)).toEqual([
          (base + 1) as never,
        ]);
      }
    }
    const first = await deployment.sendCommand(
      one,
      {kind: 'zone', zone: zoneId('zone-b'), isOut: true},
      await deployment.revision(),
      'late',
    );
    for (let round = 0; round < 300; round += 1) {
      const text = `${RULES}# later ${round}\n`;
      await deployment.sendCommand(
        one,
        {kind: 'apply_rules', text},
        await deployment.revision(),
      );
    }
    const revision = await deployment.revision();
    const entry = deployment.daemon('entry-1');
    const resent = await deployment.sendCommand(
      entry,
      {kind: 'zone', zone: zoneId('zone-b'), isOut: true},
      1,
      'late',
    );
    expect(resent.body).toEqual(first.body);
    expect(await deployment.revision()).toEqual(revision);
    for (const voter of deployment.voters) await deployment.kill(voter);
    for (const voter of deployment.voters) await deployment.startDaemon(voter);
    const later = await waitFor('a leader', async () => {
      const response = await deployment.sendCommand(
        entry,
        {kind: 'zone', zone: zoneId('zone-b'), isOut: true},
        1,
        'late',
      );
      return response.body.answer && response;
    });
    expect(later.body).toEqual(first.body);
    expect(await deployment.revision()).toEqual(revision);
  });
});

test('an operator request with a wrong key reveals nothing', async () => {
  await withDeployment({voters: 1}, async deployment => {
    const [daemon] = deployment.daemons as [TestDaemon];
    for (const path of [
      '/operator/status',
      '/operator/config',
      '/operator/nothing',
    ]) {
      const response = await deployment.callOperatorApi(
        daemon,
        'GET',
        path,
        undefined,
        'wrong-key-of-operators',
      );
      expect(response.status).toEqual(401);
      expect(response.body).toEqual({kind: 'unauthorized'});
    }
  });
});

test('a planned stop completes the request in progress and exits with 0', async () => {
  await withDeployment({entries: 1}, async deployment => {
    const [engine] = await startEngines(deployment, ['zone-a']);
    await deployment.waitForTargets(['engine-zone-a']);
    const entry = deployment.daemon('entry-1');
    const streaming = post(entry, CHAT, generationBody(600, true));
    await waitFor('the request runs', () => engine!.engine.running.size === 1);
    const exited = deployment.kill(entry, 'SIGTERM');
    await waitFor(
      'the entry drains',
      async () => (await deployment.get(entry, '/readyz')).status === 503,
    );
    const refused = await post(entry, CHAT, generationBody(1, true));
    expect(refused.status).toEqual(503);
    expect(parseStream((await streaming).text).isDone).toEqual(true);
    expect(await exited).toEqual(0);
    await engine!.crash();
  });
});

test('a planned stop serves waiting requests, also when a target crashes meanwhile', async () => {
  await withDeployment({entries: 1}, async deployment => {
    const small = (target: string) =>
      FakeEngine.start({
        target,
        zone: 'zone-a',
        service: 'models',
        models: [{model: 'large', version: '1'}],
        daemons: deployment.internalUrls,
        key: INTERNAL_KEY,
        announceMs: 200,
        speed: 8,
        config: {slots: 1, coldSlots: 1},
      });
    const first = await small('small-1');
    await deployment.waitForTargets(['small-1']);
    const entry = deployment.daemon('entry-1');
    const running = post(entry, CHAT, generationBody(700, false));
    await waitFor('the request runs', () => first.engine.running.size === 1);
    const waiting = post(entry, CHAT, generationBody(20, true, 'waiting'));
    await delay(100);
    const exited = deployment.kill(entry, 'SIGTERM');
    await waitFor(
      'the entry drains',
      async () => (await deployment.get(entry, '/readyz')).status === 503,
    );
    const second = await small('small-2');
    await deployment.waitForTargets(['small-2']);
    await first.crash();
    expect(parseStream((await waiting).text).isDone).toEqual(true);
    expect((await running).status).toEqual(200);
    expect(await exited).toEqual(0);
    await second.crash();
  });
});

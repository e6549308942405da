/**
 * The control group under failure, with real processes: kills, freezes, silent
 * partitions, lost disks, operators that race and commands that come again.
 */
import {expect} from 'earl';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {createRandom} from '@samphirefield/replication/fuzz';
import {FakeEngine} from '@samphirefield/fakes';
import {zoneId} from '@samphirefield/core';
import {
  generation,
  KEY,
  post,
  readStream,
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

/** A voter that does not lead. */
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
        key: KEY,
        announceMs: 200,
        speed: 8,
      }),
    ),
  );
}

test('what was accepted survives kills of the leader in the middle of commands', async () => {
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
        .command(via, change, base, commandId)
        .catch(() => undefined);
      await delay(random.below(25));
      await deployment.kill(leader);
      const told = await first;
      const again = await waitFor('the command is answered', async () => {
        const answer = await deployment.command(via, change, base, commandId);
        return answer.body.answer;
      });
      expect(again.kind).toEqual('accepted');
      if (told?.body.answer) expect(told.body.answer).toEqual(again);
      revision = again.revision;
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

for (const who of ['leader', 'follower', 'entry'] as const) {
  test(`a silent partition of the ${who} gives a zone that is out no new work`, async () => {
    await withDeployment({entries: 1}, async deployment => {
      const engines = await startEngines(deployment, ['zone-a', 'zone-b']);
      const targets = ['engine-zone-a', 'engine-zone-b'];
      await deployment.waitForTargets(targets);
      const first = deployment.daemons[0]!;
      const lost =
        who === 'entry'
          ? deployment.daemon('entry-1')
          : who === 'leader'
            ? await leaderOf(deployment, first)
            : await followerOf(deployment, first);
      const via = deployment.voters.find(voter => voter !== lost)!;
      const before = await post(lost, CHAT, generation(3, true));
      expect(before.status).toEqual(200);
      deployment.cutOff(lost);
      await waitFor(
        'the rest has a leader',
        async () => (await deployment.status(via)).leader !== lost.id,
      );
      await deployment.change(
        {kind: 'zone', zone: zoneId('zone-a'), isOut: true},
        via,
      );
      const started = engines[0]!.started;
      // The change is in force everywhere: nobody may give zone-a work, for as
      // long as the cut lasts and after it.
      for (let round = 0; round < 10; round += 1) {
        const answer = await post(
          lost,
          CHAT,
          generation(2, true, `cut ${round}`),
        );
        expect(answer.status).toEqual(503);
        expect((JSON.parse(answer.text) as {not_run: boolean}).not_run).toEqual(
          true,
        );
      }
      expect(engines[0]!.started).toEqual(started);
      deployment.heal();
      await deployment.waitForReady([lost]);
      for (let round = 0; round < 10; round += 1) {
        const answer = await post(
          lost,
          CHAT,
          generation(2, true, `healed ${round}`),
        );
        expect(readStream(answer.text).isDone).toEqual(true);
      }
      expect(engines[0]!.started).toEqual(started);
      await Promise.all(engines.map(engine => engine.die()));
    });
  });
}

test('a leader frozen past its lease and woken does not act on its old power', async () => {
  await withDeployment({}, async deployment => {
    const engines = await startEngines(deployment, ['zone-a', 'zone-b']);
    await deployment.waitForTargets(['engine-zone-a', 'engine-zone-b']);
    const leader = await leaderOf(deployment, deployment.daemons[0]!);
    const via = deployment.voters.find(voter => voter !== leader)!;
    deployment.freeze(leader);
    await waitFor(
      'the rest has a leader',
      async () => (await deployment.status(via)).leader !== leader.id,
    );
    await deployment.change(
      {kind: 'zone', zone: zoneId('zone-a'), isOut: true},
      via,
    );
    const started = engines[0]!.started;
    // These wait in the frozen process and are handled the moment it wakes.
    const waiting = Array.from({length: 20}, (_, index) =>
      post(leader, CHAT, generation(2, true, `frozen ${index}`)),
    );
    await delay(100);
    deployment.wake(leader);
    const answers = await Promise.all(waiting);
    expect(
      answers.every(answer => answer.status === 503 || answer.status === 200),
    ).toEqual(true);
    expect(engines[0]!.started).toEqual(started);
    const revision = await waitFor('it follows again', () =>
      deployment.revision(leader),
    );
    expect(revision).toEqual(await deployment.revision(via));
    await Promise.all(engines.map(engine => engine.die()));
  });
});

test('a lost disk is replaced, and a second voter may be lost right after', async () => {
  await withDeployment({}, async deployment => {
    const revision = await deployment.applyRules(`${RULES}# before the loss\n`);
    const lost = await followerOf(deployment, deployment.daemons[0]!);
    const via = await leaderOf(deployment, deployment.daemons[0]!);
    const before = (await deployment.status(via)).members.map(
      member => member.replica,
    );
    await deployment.kill(lost);
    deployment.wipe(lost);
    await deployment.startDaemon(lost);
    await waitFor('the new disk is taken in as a voter', async () => {
      const {members} = await deployment.status(via);
      const voters = members.filter(member => member.role === 'voter');
      const fresh = voters.filter(member => !before.includes(member.replica));
      return fresh.length === 1 && voters.length === 3 && members.length === 3;
    });
    const second = deployment.voters.find(
      voter => voter !== lost && voter !== via,
    )!;
    await deployment.kill(second);
    expect(await waitFor('a revision', () => deployment.revision(via))).toEqual(
      revision,
    );
    const next = await deployment.change(
      {kind: 'zone', zone: zoneId('zone-c'), isOut: true},
      via,
    );
    expect(next).toEqual(revision + 1);
  });
});

test('wiped disks on a majority form no empty group, and say why', async () => {
  await withDeployment({}, async deployment => {
    const [one, two, kept] = deployment.voters as [
      TestDaemon,
      TestDaemon,
      TestDaemon,
    ];
    for (const voter of [one, two]) {
      await deployment.kill(voter);
      deployment.wipe(voter);
    }
    for (const voter of [one, two]) await deployment.startDaemon(voter);
    const refused = await deployment.operate(
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
    const answer = await deployment.operate(kept, 'GET', '/operator/config');
    expect(answer.status).toEqual(503);
  });
});

test('of two operators with equal revisions one wins, and resends change nothing', async () => {
  await withDeployment({entries: 1}, async deployment => {
    const [one, two] = deployment.daemons as [TestDaemon, TestDaemon];
    for (let round = 0; round < 5; round += 1) {
      const base = await deployment.revision();
      const texts = [0, 1].map(
        side => `${RULES}# round ${round} side ${side}\n`,
      );
      const answers = await Promise.all(
        [one, two].map((via, side) =>
          deployment.command(
            via,
            {kind: 'apply_rules', text: texts[side]!},
            base,
            `race-${round}-${side}`,
          ),
        ),
      );
      const kinds = answers.map(answer => answer.body.answer!.kind).sort();
      expect(kinds).toEqual(['accepted', 'conflict']);
      const loser = answers.find(
        answer => answer.body.answer!.kind === 'conflict',
      )!.body.answer!;
      if (loser.kind === 'conflict') {
        expect(loser.changesSince.map(change => change.revision)).toEqual([
          (base + 1) as never,
        ]);
      }
    }
    const first = await deployment.command(
      one,
      {kind: 'zone', zone: zoneId('zone-b'), isOut: true},
      await deployment.revision(),
      'late',
    );
    for (let round = 0; round < 300; round += 1) {
      const text = `${RULES}# later ${round}\n`;
      await deployment.command(
        one,
        {kind: 'apply_rules', text},
        await deployment.revision(),
      );
    }
    const revision = await deployment.revision();
    const entry = deployment.daemon('entry-1');
    const resent = await deployment.command(
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
      const answer = await deployment.command(
        entry,
        {kind: 'zone', zone: zoneId('zone-b'), isOut: true},
        1,
        'late',
      );
      return answer.body.answer && answer;
    });
    expect(later.body).toEqual(first.body);
    expect(await deployment.revision()).toEqual(revision);
  });
});

test('a wrong key of operators or of another deployment learns nothing', async () => {
  await withDeployment({voters: 1}, async deployment => {
    const [daemon] = deployment.daemons as [TestDaemon];
    for (const path of [
      '/operator/status',
      '/operator/config',
      '/operator/nothing',
    ]) {
      const answer = await deployment.operate(
        daemon,
        'GET',
        path,
        undefined,
        'wrong-key-of-operators',
      );
      expect(answer.status).toEqual(401);
      expect(answer.body).toEqual({kind: 'unauthorized'});
    }
  });
});

test('a planned stop cuts off no request in progress and exits 0', async () => {
  await withDeployment({entries: 1}, async deployment => {
    const [engine] = await startEngines(deployment, ['zone-a']);
    await deployment.waitForTargets(['engine-zone-a']);
    const entry = deployment.daemon('entry-1');
    const answering = post(entry, CHAT, generation(600, true));
    await waitFor('it runs', () => engine!.engine.running.size === 1);
    const exited = deployment.kill(entry, 'SIGTERM');
    await waitFor(
      'it drains',
      async () => (await deployment.get(entry, '/readyz')).status === 503,
    );
    const refused = await post(entry, CHAT, generation(1, true));
    expect(refused.status).toEqual(503);
    expect(readStream((await answering).text).isDone).toEqual(true);
    expect(await exited).toEqual(0);
    await engine!.die();
  });
});

test('a planned stop serves what already waits, also when a target dies meanwhile', async () => {
  await withDeployment({entries: 1}, async deployment => {
    const small = (target: string) =>
      FakeEngine.start({
        target,
        zone: 'zone-a',
        service: 'models',
        models: [{model: 'large', version: '1'}],
        daemons: deployment.internalUrls,
        key: KEY,
        announceMs: 200,
        speed: 8,
        config: {slots: 1, coldSlots: 1},
      });
    const first = await small('small-1');
    await deployment.waitForTargets(['small-1']);
    const entry = deployment.daemon('entry-1');
    const running = post(entry, CHAT, generation(700, false));
    await waitFor('it runs', () => first.engine.running.size === 1);
    const waiting = post(entry, CHAT, generation(20, true, 'waiting'));
    await delay(100);
    const exited = deployment.kill(entry, 'SIGTERM');
    await waitFor(
      'it drains',
      async () => (await deployment.get(entry, '/readyz')).status === 503,
    );
    const second = await small('small-2');
    await deployment.waitForTargets(['small-2']);
    await first.die();
    expect(readStream((await waiting).text).isDone).toEqual(true);
    expect((await running).status).toEqual(200);
    expect(await exited).toEqual(0);
    await second.die();
  });
});

/** One request that crashes each target that runs it, and comes again and again. */
import {expect} from 'earl';
import {test, type TestContext} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {
  serviceId,
  silentLogger,
  type LogFields,
  type Logger,
} from '@samphirefield/core';
import type {RequestKind} from '@samphirefield/gateway';
import {call, type CallerResponse} from '@samphirefield/gateway/testing';
import type {TestCluster} from './testing/cluster.js';
import {TestTargets, type Comeback} from './testing/test-targets.js';
import {
  KEYS,
  startEntryGateway,
  startRoutedCluster,
  targetsAreKnown,
  type EntryGateway,
} from './testing/gateways.js';

/** Crashes that prove the cause, and repeats that the users allow after them. */
const CRASHES_MAX = 3 + 3;
const COMINGS = 10;
const PAUSE_MS = 500;
const DEADLY = 'deadly';

interface Scenario {
  readonly kind?: RequestKind;
  readonly services?: readonly string[];
  readonly isEngine?: boolean;
  readonly comeback?: Comeback;
  readonly isSilentEnd?: boolean;
  /** Copies that come at once. */
  readonly copies?: number;
  /** How often the caller repeats a copy at once after a failure. */
  readonly repeats?: number;
  readonly keyOf?: (coming: number) => string;
  readonly pathOf?: (coming: number) => string;
  /** Milliseconds after which the caller leaves; undefined: it stays. */
  readonly leavesAfterMs?: number;
  readonly before?: (play: Play, coming: number) => Promise<void>;
}

/** Writes what happened to stderr when LOG_EVENTS is set. */
const logger: Logger =
  process.env['LOG_EVENTS'] === undefined
    ? silentLogger
    : {
        ...silentLogger,
        info: (event, fields) => print(event, fields),
        warn: (event, fields) => print(event, fields),
      };

function print(event: string, fields: LogFields = {}): void {
  process.stderr.write(`${event} ${JSON.stringify(fields)}\n`);
}

class Play {
  private attempts = 0;

  private constructor(
    readonly scenario: Scenario,
    readonly cluster: TestCluster,
    readonly targets: TestTargets,
    readonly gateways: EntryGateway[],
  ) {}

  static async setUp(t: TestContext, scenario: Scenario): Promise<Play> {
    const {kind = 'unsafe', isEngine = false, comeback = 'other_id'} = scenario;
    const services = (scenario.services ?? ['desk']).map(serviceId);
    const routed = {kind, services, isEngine};
    const started = await startRoutedCluster(t, routed, logger);
    const {cluster, gateways} = started;
    const targets = await TestTargets.start({
      cluster,
      services,
      perService: 3,
      isDeadly: (_head, body) => body.includes(DEADLY),
      comeback,
      isSilentEnd: scenario.isSilentEnd ?? false,
    });
    t.after(() => targets.close());
    return new Play(scenario, cluster, targets, gateways);
  }

  targetsAreKnown(): Promise<void> {
    return targetsAreKnown(this.targets, this.gateways);
  }

  send(body: string, coming: number, entry = coming): Promise<CallerResponse> {
    const {keyOf, pathOf} = this.scenario;
    this.attempts += 1;
    const gateway = this.gateways[entry % this.gateways.length]!;
    return call(gateway.port, {
      attemptId: `a${this.attempts}`,
      body,
      path: pathOf?.(coming) ?? '/x',
      headers: {
        key: keyOf?.(coming) ?? KEYS[0],
        ...this.deadline(),
      },
    });
  }

  /** One copy, and its repeats at other entries while it fails. */
  async sendCopy(coming: number, copy: number): Promise<void> {
    const {repeats = 0} = this.scenario;
    for (let i = 0; i <= repeats; i += 1) {
      const response = await this.send(DEADLY, coming, coming + copy + i);
      expect(response.status).not.toEqual(200);
      if (response.status === 503) return;
    }
  }

  async run(): Promise<void> {
    const {copies = 1, before} = this.scenario;
    for (let coming = 0; coming < COMINGS; coming += 1) {
      await this.targetsAreKnown();
      await before?.(this, coming);
      const sent = Array.from({length: copies}, (_, copy) =>
        this.sendCopy(coming, copy),
      );
      await Promise.all(sent);
      await delay(PAUSE_MS);
    }
  }

  private deadline(): Record<string, string> {
    const {leavesAfterMs} = this.scenario;
    return leavesAfterMs === undefined
      ? {}
      : {'deadline-ms': String(leavesAfterMs)};
  }
}

async function countCrashes(t: TestContext, scenario: Scenario) {
  const play = await Play.setUp(t, scenario);
  await play.run();
  logger.info('played', {crashes: play.targets.crashed.length});
  return play.targets.crashed.length;
}

const isWithinBound = (crashes: number) => crashes <= CRASHES_MAX;

test('a safe request is retried from crash to crash before the first is counted', async t => {
  const crashes = await countCrashes(t, {kind: 'safe', repeats: 1});
  expect(isWithinBound(crashes)).toEqual(true);
});

test('copies that come at once crash all targets at once, time after time', async t => {
  const crashes = await countCrashes(t, {copies: 9});
  expect(isWithinBound(crashes)).toEqual(true);
});

test('a request comes with another key of its workspace over a split route each time', async t => {
  const crashes = await countCrashes(t, {
    services: ['desk', 'desk-next'],
    keyOf: coming => KEYS[coming % 2]!,
  });
  expect(isWithinBound(crashes)).toEqual(true);
});

test('a request comes with another query each time', async t => {
  const crashes = await countCrashes(t, {
    pathOf: coming => `/x?try=${coming}`,
  });
  expect(isWithinBound(crashes)).toEqual(true);
});

test('targets that come back under their id and without a start time crash unseen', async t => {
  const crashes = await countCrashes(t, {comeback: 'same_id_without_start'});
  expect(isWithinBound(crashes)).toEqual(true);
});

test('targets that end silently crash unseen', async t => {
  const crashes = await countCrashes(t, {
    isSilentEnd: true,
    leavesAfterMs: 300,
  });
  expect(isWithinBound(crashes)).toEqual(true);
});

test('a caller that leaves before it sees the crash repeats its request unseen', async t => {
  const crashes = await countCrashes(t, {
    comeback: 'other_address',
    isSilentEnd: true,
    leavesAfterMs: 200,
    isEngine: true,
    kind: 'stream',
  });
  expect(isWithinBound(crashes)).toEqual(true);
});

test('a request that was answered until now crashes target after target', async t => {
  const crashes = await countCrashes(t, {
    kind: 'safe',
    repeats: 1,
    comeback: 'same_id',
    before: async (play, coming) => {
      if (coming > 0) return;
      const {targets} = play;
      const options = targets['options'];
      Object.assign(options, {isDeadly: () => false});
      for (const entry of [0, 1, 2])
        expect((await play.send(DEADLY, 0, entry)).status).toEqual(200);
      Object.assign(options, {
        isDeadly: (_head: string, body: string) => body.includes(DEADLY),
      });
    },
  });
  expect(isWithinBound(crashes)).toEqual(true);
});

test('the leader is killed and entries restart between the crashes', async t => {
  const crashes = await countCrashes(t, {
    kind: 'safe',
    repeats: 1,
    before: async ({cluster, gateways}, coming) => {
      if (coming === 2) {
        const leader = cluster.leaderIndex()!;
        await cluster.stop(leader);
        await cluster.start(leader, false);
        return;
      }
      const position = coming % gateways.length;
      gateways[position]!.close();
      gateways[position] = await startEntryGateway(
        cluster,
        `e${position + 1}-${coming}`,
        logger,
      );
    },
  });
  expect(isWithinBound(crashes)).toEqual(true);
});

test('an innocent request that rides along with each crash is refused', async t => {
  const play = await Play.setUp(t, {kind: 'safe', repeats: 1});
  for (let coming = 0; coming < COMINGS; coming += 1) {
    await play.targetsAreKnown();
    const riders = [0, 1, 2].map(entry => play.send('innocent', coming, entry));
    await Promise.all([play.sendCopy(coming, 0), ...riders]);
    await delay(PAUSE_MS);
  }
  await play.targetsAreKnown();
  for (const entry of [0, 1, 2]) {
    const response = await play.send('innocent', 0, entry);
    expect(response.status).toEqual(200);
  }
  expect(isWithinBound(play.targets.crashed.length)).toEqual(true);
});

test('targets that crash without a request in common lead to a refusal', async t => {
  const play = await Play.setUp(t, {kind: 'safe'});
  for (let coming = 0; coming < COMINGS; coming += 1) {
    await play.targetsAreKnown();
    const sent = [0, 1, 2].map(entry => play.send('same', coming, entry));
    play.targets.crash(coming % 3);
    await Promise.all(sent);
    await delay(PAUSE_MS / 2);
  }
  await play.targetsAreKnown();
  expect((await play.send('same', 0)).status).toEqual(200);
});

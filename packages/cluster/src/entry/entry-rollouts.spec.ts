/** An entry's leases and counts, with a simulated leader and clock. */
import {expect} from 'earl';
import {test} from 'node:test';
import {setImmediate as turn} from 'node:timers/promises';
import {
  incarnation,
  instanceId,
  requestId,
  serviceId,
  silentLogger,
  targetId,
  zoneId,
} from '@samphirefield/core';
import {
  startDemand,
  versionId,
  type Demand,
  type TargetAnnouncement,
} from '@samphirefield/gateway';
import type {
  Rollout,
  RolloutLeases,
  RolloutReportMessage,
} from '../control/index.js';
import {createAnnouncement} from '../testing/cluster.js';
import {EntryRollouts} from './entry-rollouts.js';

const SERVICE = serviceId('desk');
const LEASE_MS = 1_500;
const [v1, v2] = ['v1', 'v2'].map(versionId);
const announce = (id: string, version: typeof v1): TargetAnnouncement =>
  createAnnouncement({
    id: targetId(id),
    service: SERVICE,
    ...(version && {version}),
  });
const oldTarget = announce('old', v1);
const newTarget = announce('new', v2);

const rollout: Rollout = {
  service: SERVICE,
  target: v2!,
  durationMs: 9_000,
  orderedAtMs: 1,
  startIndex: 3,
  state: 'running',
  refused: [],
};

class Play {
  nowMs = 1_000;
  term = 1;
  allowedRequests = 2;
  sendShare = 0.5;
  isClosing = false;
  /** How long the leader's answer takes. */
  answerMs = 0;
  isLost = false;
  readonly received: RolloutReportMessage[] = [];
  readonly rollouts = new EntryRollouts({
    instance: instanceId('e1'),
    incarnation: incarnation('i'),
    logger: silentLogger,
    nowMs: () => this.nowMs,
    random: () => 0,
    leader: () => ({request: this.answer}) as never,
    announcementOf: id =>
      [oldTarget, newTarget].find(target => target.id === id),
    onChange: () => undefined,
  });

  private readonly answer = (
    _method: string,
    message: RolloutReportMessage,
  ): Promise<RolloutLeases> => {
    this.received.push(message);
    this.nowMs += this.answerMs;
    if (this.isLost) return Promise.reject(new Error('lost'));
    const {term, allowedRequests, sendShare, isClosing} = this;
    const lease = {
      service: SERVICE,
      startIndex: rollout.startIndex,
      leaseMs: LEASE_MS,
      allowedRequests,
      sendShare,
      targets: [newTarget.id],
      focusRoutes: [],
      focusShare: 0,
      isClosing,
    };
    return Promise.resolve({term, leases: [lease]});
  };

  /** Follows the running rollout, which sends the first report. */
  async begin(): Promise<void> {
    this.rollouts.follow([rollout]);
    this.rollouts.stop();
    await turn();
  }

  async report(): Promise<void> {
    await this.rollouts['report']();
  }

  demand(name: string, changed: Partial<Demand> = {}): Demand {
    const requester = {
      request: requestId(name),
      service: SERVICE,
      entry: instanceId('e1'),
      zone: zoneId('z'),
      priority: 0,
      workspace: undefined,
      excluded: [],
    };
    const tokens = {
      promptTokens: 0,
      maxOutputTokens: 0,
      hintedOutputTokens: undefined,
    };
    const demand = startDemand(requester, tokens, 1_000, 1_000);
    return this.rollouts.assign({...demand, ...changed});
  }

  sides(...names: string[]) {
    return names.map(name => this.demand(name).rolloutSide);
  }

  get lastRows() {
    return this.received.at(-1)!.reports[0]!.rows;
  }
}

test('an entry without a valid lease sends to the new version', async () => {
  const play = new Play();
  play.rollouts.follow([rollout]);
  play.rollouts.stop();
  expect(play.rollouts.mayUse(newTarget.id)).toEqual(false);
  await turn();
  expect(play.rollouts.mayUse(newTarget.id)).toEqual(true);
  play.nowMs += LEASE_MS;
  expect(play.rollouts.mayUse(newTarget.id)).toEqual(false);
  expect(play.rollouts.mayUse(oldTarget.id)).toEqual(true);
  expect(play.sides('a')).toEqual([undefined]);
});

// Guards against an entry that was frozen, or whose leader answered late: the
// lease would last longer than the leader assumes.
test('a lease counts from its answer', async () => {
  const play = new Play();
  play.answerMs = LEASE_MS;
  await play.begin();
  expect(play.rollouts.mayUse(newTarget.id)).toEqual(false);
});

test('an entry sends more than it was granted, or less', async () => {
  const play = new Play();
  await play.begin();
  expect(play.sides('a', 'b', 'c')).toEqual(['new', 'new', undefined]);
  const refused = {kind: 'refused', reason: 'crowded'} as const;
  const demand = {...play.demand('x'), request: requestId('a')};
  play.rollouts.settle(demand, {...refused, retryAfterMs: undefined});
  expect(play.sides('d', 'e')).toEqual(['new', undefined]);
});

test('a request that failed, or moves, goes to the new version', async () => {
  const play = new Play();
  await play.begin();
  const repeated = play.demand('a', {excluded: [newTarget.id]});
  const moved = play.demand('b', {isRunning: true});
  expect([repeated.rolloutSide, moved.rolloutSide]).toEqual([
    undefined,
    undefined,
  ]);
  expect(play.rollouts.mayPlaceOn(newTarget, moved)).toEqual(false);
});

test('what an entry counted is lost with a report or its leader', async () => {
  const play = new Play();
  await play.begin();
  play.rollouts.recordArrival(SERVICE);
  const run = play.rollouts.startRun('r', SERVICE, newTarget.id);
  play.isLost = true;
  await play.report();
  const lost = play.lastRows;
  play.isLost = false;
  await play.report();
  expect(play.lastRows).toEqual(lost);
  await play.report();
  expect(play.lastRows).toEqual([]);
  run.noteEnd('bad');
  play.term = 2;
  await play.report();
  await play.report();
  expect(play.lastRows).toEqual([
    {
      route: 'r',
      side: 'new',
      target: newTarget.id,
      sentRequests: 1,
      badResponses: 1,
      abandonedRequests: 0,
      latencyCounts: [],
    },
  ]);
});

test('old targets get requests while a rollout closes, or hold it open', async () => {
  const play = new Play();
  await play.begin();
  const run = play.rollouts.startRun('r', SERVICE, oldTarget.id);
  play.isClosing = true;
  await play.report();
  const demand = play.demand('a');
  const {rollouts} = play;
  expect(rollouts.mayPlaceOn(oldTarget, demand)).toEqual(false);
  expect(rollouts.mayPlaceOn(newTarget, demand)).toEqual(true);
  expect(rollouts.isLeaving(oldTarget)).toEqual(true);
  await play.report();
  run.noteMove(newTarget.id);
  await play.report();
  const told = play.received.slice(-2).map(({reports}) => {
    const [{isClosing, oldRuns}] = reports as [
      RolloutReportMessage['reports'][0],
    ];
    return [isClosing, oldRuns];
  });
  expect(told).toEqual([
    [true, 1],
    [true, 0],
  ]);
});

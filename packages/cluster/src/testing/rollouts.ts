/**
 * Three control daemons, three entries and targets of two versions, with callers
 * at a steady rate.
 */
import type {TestContext} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {
  serviceId,
  silentLogger,
  zoneId,
  type Logger,
  type ServiceId,
} from '@samphirefield/core';
import {versionId} from '@samphirefield/gateway';
import {call} from '@samphirefield/gateway/testing';
import {
  DEFAULT_ROLLOUT_LIMITS,
  findRollout,
  type ControlNode,
  type Rollout,
} from '../control/index.js';
import {until, type TestCluster} from './cluster.js';
import {
  KEYS,
  startRoutedCluster,
  targetsAreKnown,
  type EntryGateway,
} from './gateways.js';
import {TestTargets} from './test-targets.js';

export const SERVICE = serviceId('desk');
export const OLD = versionId('v1');
export const NEW = versionId('v2');
const REQUESTS_PER_S = 150;
/** Longer than the delays of a busy machine, which differ by version. */
const RUN_MS = 10;
const DEADLINE_MS = 2_000;
const POLL_MS = 50;
/** Number of targets of the old version; later positions have the new one. */
const OLD_TARGETS = 3;

/** The control daemons that an operator knows. */
export interface Operated {
  readonly cluster: {readonly controls: ReadonlyMap<number, ControlNode>};
  /** Adds a line to the output of the test. */
  readonly diagnostic?: (message: string) => void;
}

export interface RolloutPlay extends Operated {
  readonly service: ServiceId;
  readonly cluster: TestCluster;
  readonly gateways: EntryGateway[];
  readonly targets: TestTargets;
  /** When requests reached a version. */
  readonly runsAtMs: {readonly old: number[]; readonly new: number[]};
  /** When a target of the new version failed a request. */
  readonly failedAtMs: number[];
  readonly statuses: number[];
  /** Share of the responses of the new version that fail. */
  failureShare: number;
  startCallers(): void;
  stopCallers(): Promise<void>;
}

export interface RolloutPlayOptions {
  readonly newTargets?: number;
  readonly isEngine?: boolean;
  readonly logger?: Logger;
}

export async function setUpRollout(
  t: TestContext,
  {
    newTargets = 3,
    isEngine = false,
    logger = silentLogger,
  }: RolloutPlayOptions = {},
): Promise<RolloutPlay> {
  const services = [SERVICE];
  const kind = isEngine ? 'stream' : 'unsafe';
  const routed = {kind, services, isEngine} as const;
  const {cluster, gateways} = await startRoutedCluster(t, routed, logger);
  const runsAtMs = {old: [] as number[], new: [] as number[]};
  const failedAtMs: number[] = [];
  const isNew = (position: number) => position >= OLD_TARGETS;
  let random = 0;
  const targets = await TestTargets.start({
    cluster,
    services,
    perService: OLD_TARGETS + newTargets,
    isDeadly: () => false,
    comeback: 'same_id',
    runMs: RUN_MS,
    versionOf: position => (isNew(position) ? NEW : OLD),
    zoneOf: position => zoneId(isNew(position) ? 'z1' : 'z0'),
    onRun: position =>
      runsAtMs[isNew(position) ? 'new' : 'old'].push(performance.now()),
    isFailing: position => {
      if (!isNew(position)) return false;
      // The golden ratio spreads the failures evenly.
      random = (random + 0.618) % 1;
      const isFailing = random < play.failureShare;
      if (isFailing) failedAtMs.push(performance.now());
      return isFailing;
    },
  });
  t.after(() => targets.close());
  await targetsAreKnown(targets, gateways);
  const statuses: number[] = [];
  const callers = createCallers(gateways, statuses);
  t.after(() => callers.stop());
  const play: RolloutPlay = {
    service: SERVICE,
    diagnostic: message => t.diagnostic(message),
    cluster,
    gateways,
    targets,
    runsAtMs,
    failedAtMs,
    statuses,
    failureShare: 0,
    startCallers: () => callers.start(),
    stopCallers: () => callers.stop(),
  };
  return play;
}

/** Callers that send requests to the entries in turn. */
function createCallers(gateways: readonly EntryGateway[], statuses: number[]) {
  const open = new Set<Promise<void>>();
  let timer: NodeJS.Timeout | undefined;
  let sent = 0;
  let dueAtMs = 0;
  const sendOne = () => {
    sent += 1;
    const {port} = gateways[sent % gateways.length]!;
    const headers = {key: KEYS[0], 'deadline-ms': String(DEADLINE_MS)};
    const attemptId = `a${sent}`;
    const request = {attemptId, body: `b${sent}`, path: '/x', headers};
    const answered = call(port, request)
      .then(({status}) => void statuses.push(status))
      .catch(() => void statuses.push(0))
      .finally(() => open.delete(answered));
    open.add(answered);
  };
  return {
    start: () => {
      dueAtMs = performance.now();
      timer = setInterval(() => {
        for (; dueAtMs < performance.now(); dueAtMs += 1_000 / REQUESTS_PER_S)
          sendOne();
      }, 5);
    },
    stop: async () => {
      clearInterval(timer);
      await Promise.all(open);
    },
  };
}

/** Number of requests that reached the new version since `sinceMs`. */
export function exposureOf({runsAtMs}: RolloutPlay, sinceMs: number): number {
  return runsAtMs.new.filter(atMs => atMs > sinceMs).length;
}

/** Whether the new version got no more requests than a bad one may get. */
export function isWithinShare(play: RolloutPlay, sinceMs: number): boolean {
  const exposed = exposureOf(play, sinceMs);
  const old = play.runsAtMs.old.filter(atMs => atMs > sinceMs).length;
  const {exposeShare, exposeSlack} = DEFAULT_ROLLOUT_LIMITS;
  return exposed <= exposeShare * (exposed + old) + exposeSlack;
}

/** Orders a rollout at any daemon until it is answered, as an operator does. */
export async function order(
  {cluster}: Operated,
  durationMs: number,
  target = NEW,
): Promise<'accepted' | 'conflict'> {
  for (;;) {
    for (const node of cluster.controls.values()) {
      const request = {service: SERVICE, target, durationMs};
      const outcome = await node.startRollout(request);
      if (outcome !== 'unavailable') return outcome;
    }
    await delay(POLL_MS);
  }
}

/** Reads the rollout from any daemon that can confirm the newest state. */
export async function readRollout({
  cluster,
}: Operated): Promise<Rollout | undefined> {
  for (const node of cluster.controls.values()) {
    const state = await node.readNewest();
    if (state) return findRollout(state.rollouts, SERVICE);
  }
  return undefined;
}

/** Waits for the end of the rollout and returns it; its reason is in the output. */
export async function waitForEnd(play: Operated): Promise<Rollout> {
  let rollout: Rollout | undefined;
  await until('the rollout ends', async () => {
    rollout = await readRollout(play);
    return rollout !== undefined && rollout.state !== 'running';
  });
  play.diagnostic?.(`${rollout!.state}: ${rollout!.reason}`);
  return rollout!;
}

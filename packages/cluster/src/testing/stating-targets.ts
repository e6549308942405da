/** Three entries before three targets that state things of themselves. */
import type {TestContext} from 'node:test';
import {serviceId, silentLogger} from '@samphirefield/core';
import {TestCluster, until} from './cluster.js';
import {CrashingTargets} from './crashing-targets.js';
import {
  decodeRouted,
  startEntryGateway,
  targetsAreKnown,
  type EntryGateway,
} from './gateways.js';

const TARGETS = 3;

export interface StatingPlay {
  readonly cluster: TestCluster;
  readonly gateways: EntryGateway[];
  readonly targets: CrashingTargets;
  /** When each request reached the targets, by position. */
  readonly runsAtMs: number[][];
  /** Further lines of the heads of responses, by position. */
  readonly heads: Array<readonly string[]>;
  /** Positions of targets that reject requests, with a line of that head. */
  readonly busy: Map<number, string>;
  sent: number;
}

export interface StatingOptions {
  readonly isEngine: boolean;
  readonly heads?: ReadonlyArray<readonly string[]>;
}

export async function setUpStating(
  t: TestContext,
  {isEngine, heads: firstHeads = []}: StatingOptions,
): Promise<StatingPlay> {
  const services = [serviceId('desk')];
  const kind = isEngine ? 'stream' : 'unsafe';
  const decode = decodeRouted({kind, services, isEngine});
  const cluster = await TestCluster.create(TARGETS, TARGETS, decode);
  t.after(() => cluster.close());
  for (const i of [0, 1, 2]) await cluster.start(i, true);
  await until('a leader', () => cluster.leaderIndex() !== undefined);
  await cluster.putConfig(0, 1);
  const gateways: EntryGateway[] = [];
  t.after(() => gateways.forEach(gateway => gateway.close()));
  for (const name of ['e1', 'e2', 'e3'])
    gateways.push(await startEntryGateway(cluster, name, silentLogger));
  const runsAtMs: number[][] = [[], [], []];
  const heads = [0, 1, 2].map(position => firstHeads[position] ?? []);
  const busy = new Map<number, string>();
  const targets = await CrashingTargets.start({
    cluster,
    services,
    perService: TARGETS,
    isDeadly: () => false,
    comeback: 'same_id',
    onRun: position => runsAtMs[position]!.push(performance.now()),
    headOf: position => heads[position]!,
    rejectionOf: position => busy.get(position),
  });
  t.after(() => targets.close());
  await targetsAreKnown(targets, gateways);
  return {cluster, gateways, targets, runsAtMs, heads, busy, sent: 0};
}

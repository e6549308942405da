/** Three entries before three targets that state things of themselves. */
import type {TestContext} from 'node:test';
import {serviceId, silentLogger} from '@samphirefield/core';
import type {TestCluster} from './cluster.js';
import {TestTargets} from './test-targets.js';
import {
  startRoutedCluster,
  targetsAreKnown,
  type EntryGateway,
} from './gateways.js';

const TARGETS = 3;

export interface StatingPlay {
  readonly cluster: TestCluster;
  readonly gateways: EntryGateway[];
  readonly targets: TestTargets;
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
  const routed = {kind, services, isEngine} as const;
  const started = await startRoutedCluster(t, routed, silentLogger);
  const {cluster, gateways} = started;
  const runsAtMs: number[][] = [[], [], []];
  const heads = [0, 1, 2].map(position => firstHeads[position] ?? []);
  const busy = new Map<number, string>();
  const targets = await TestTargets.start({
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

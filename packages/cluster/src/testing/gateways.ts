/** Entries with a gateway for callers, in front of a test cluster. */
import type {TestContext} from 'node:test';
import {ok} from 'neverthrow';
import {
  instanceId,
  serviceId,
  workspaceId,
  zoneId,
  type Logger,
  type ServiceId,
} from '@samphirefield/core';
import {
  startGatewayServer,
  UpstreamPool,
  type GatewayServer,
  type RequestKind,
  type RouteTable,
} from '@samphirefield/gateway';
import {NO_MOVES, testProtocol} from '@samphirefield/gateway/testing';
import type {EntryNode} from '../entry/index.js';
import {decodeTestDocument, TestCluster, until} from './cluster.js';
import type {TestTargets} from './test-targets.js';

const MOVED = 'moved ';
export const KEYS = ['k1', 'k2', 'k3'] as const;

export interface RoutedServices {
  readonly kind: RequestKind;
  readonly services: readonly ServiceId[];
  readonly isEngine: boolean;
  /** Default: false. */
  readonly isResumable?: boolean;
  /** Default: 2. */
  readonly maxRuns?: number;
}

/**
 * Decodes a number into a table of that version, with one route to all services;
 * after `moved`, to a service without targets.
 */
export function decodeRouted(routed: RoutedServices) {
  return (document: unknown) => {
    const text = String(document);
    const isMoved = text.startsWith(MOVED);
    const number = isMoved ? text.slice(MOVED.length) : text;
    const services = isMoved ? [serviceId('elsewhere')] : routed.services;
    const base = decodeTestDocument(number)._unsafeUnwrap();
    const [engine] = base.services;
    const table: RouteTable = {
      ...base,
      routes: [
        {
          name: 'r',
          host: 'test',
          pathPrefix: '/',
          kind: routed.kind,
          timeoutMs: 5_000,
          objectiveMs: 1_000,
          priority: 0,
          services: services.map(service => ({service, weight: 1})),
          maxRuns: routed.maxRuns ?? 2,
          isPublic: false,
          eventGapMs: 100,
          isResumable: routed.isResumable ?? false,
        },
      ],
      services: services.map(name => ({
        ...engine!,
        name,
        engine: routed.isEngine ? {...engine!.engine!, slots: 8} : undefined,
      })),
      limits: {
        maxHeaderBytes: 16_384,
        maxBodyBytes: 100_000,
        headerTimeoutMs: 3_000,
        idleTimeoutMs: 15_000,
      },
      workspaces: [
        {name: workspaceId('w'), keys: [...KEYS], priority: undefined},
      ],
    };
    return ok(table);
  };
}

export interface EntryGateway {
  readonly entry: EntryNode;
  readonly port: number;
  /** Ends the entry, as a kill does. */
  close(): void;
}

export async function startEntryGateway(
  cluster: TestCluster,
  name: string,
  logger: Logger,
): Promise<EntryGateway> {
  const pool = new UpstreamPool();
  const entry = cluster.startEntry(name, logger, pool);
  const nowMs = () => performance.now();
  const server: GatewayServer = await startGatewayServer('127.0.0.1', 0, {
    instance: instanceId(name),
    zone: zoneId('z0'),
    protocol: testProtocol,
    reservations: entry,
    budget: {recordRequest: () => undefined, tryConsume: () => true},
    quarantine: entry.quarantine,
    statements: entry.statements,
    targetLoads: entry.targetLoads,
    runObserver: entry.rollouts,
    reachability: entry.reachability,
    hasLostLinks: start => entry.reachability.hasLostLinks(start),
    pool,
    mover: NO_MOVES,
    logger,
    observe: () => undefined,
    activeConfig: () => entry.activeConfig(),
    nowMs,
    plannedStop: () => undefined,
    random: Math.random,
  });
  await until(
    `${name} has a leader and a configuration`,
    () =>
      entry.metrics()['has_leader'] === 1 && entry.activeConfig() !== undefined,
  );
  return {
    entry,
    port: server.port,
    close: () => {
      server.close();
      pool.close();
      entry.stop();
    },
  };
}

/** Waits until all targets are up and known to all entries. */
export function targetsAreKnown(
  targets: TestTargets,
  gateways: readonly EntryGateway[],
): Promise<void> {
  const isKnown = ({entry}: EntryGateway) =>
    targets.ids.every(
      id => entry.findTarget(id)?.announcement.state === 'ready',
    );
  return until(
    'all targets are up and known',
    () => targets.areAllUp && gateways.every(isKnown),
  );
}

export interface RoutedCluster {
  readonly cluster: TestCluster;
  readonly gateways: EntryGateway[];
}

/** Three control daemons with a configuration, and three entries. */
export async function startRoutedCluster(
  t: TestContext,
  routed: RoutedServices,
  logger: Logger,
): Promise<RoutedCluster> {
  const cluster = await TestCluster.create(3, 3, decodeRouted(routed));
  t.after(() => cluster.close());
  for (const i of [0, 1, 2]) await cluster.start(i, true);
  await until('a leader', () => cluster.leaderIndex() !== undefined);
  await cluster.putConfig(0, 1);
  const gateways: EntryGateway[] = [];
  t.after(() => gateways.forEach(gateway => gateway.close()));
  for (const name of ['e1', 'e2', 'e3'])
    gateways.push(await startEntryGateway(cluster, name, logger));
  return {cluster, gateways};
}

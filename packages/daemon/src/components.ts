/** Builds the components of a daemon that its HTTP interfaces use. */
import {randomUUID} from 'node:crypto';
import {err, ok, type Result} from 'neverthrow';
import {
  instanceId,
  zoneId,
  type Logger,
  type Settings,
} from '@samphirefield/core';
import {holderId} from '@samphirefield/policy';
import type {Clock} from './clock/index.js';
import {
  ControlClient,
  createEntryTables,
  HeartbeatLoop,
  type EntryTables,
  hearTarget,
  syncCandidate,
  type HeardHead,
} from './entry/index.js';
import {createMetrics, type Metrics} from './metrics/index.js';
import {LedgerClient} from './plain/index.js';
import {RpcClient} from './rpc/index.js';
import {Scheduler} from './scheduler/index.js';
import {TargetClient} from './targets/index.js';
import {advertisedAddress, VoterHost, type OrderSender} from './voter/index.js';

/** The components of one daemon. */
export interface DaemonComponents {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly rpc: RpcClient;
  readonly control: ControlClient;
  readonly host: VoterHost | undefined;
  readonly tables: EntryTables;
  readonly scheduler: Scheduler;
  readonly heartbeat: HeartbeatLoop;
  readonly targets: TargetClient;
  readonly ledger: LedgerClient;
  readonly metrics: Metrics;
  isDraining: boolean;
}

const ANY_ADDRESS = ['0.0.0.0', '::'];

/**
 * Returns the local address for calls to other daemons: the one they reach this
 * daemon by. Undefined when it listens on all addresses.
 */
function outgoingAddress(settings: Settings): string | undefined {
  const {address} = settings.internal;
  return ANY_ADDRESS.includes(address) ? undefined : address;
}

function heartbeatReplica(settings: Settings, host: VoterHost | undefined) {
  if (host === undefined) return undefined;
  const {address, port} = advertisedAddress(settings);
  return {
    id: host.replicaId,
    address,
    port,
    isMember: host.node.hasJoinedGroup,
  };
}

/** Sends orders with the key of targets, only while this daemon leads the group. */
function createOrderSender(
  settings: Settings,
  targets: TargetClient,
  host: () => VoterHost | undefined,
): OrderSender {
  return async (order, announcement, timeoutMs) => {
    const {address, port} = announcement;
    const {target, incarnation, model, version, epoch} = order;
    const sent = await targets.sendOrder(
      {target, incarnation, address, port},
      settings.targets.key,
      {kind: 'load_model', model, version, epoch},
      () => host()?.node.holdsLease() ?? false,
      timeoutMs,
    );
    return sent.mapErr(error => error.kind);
  };
}

export async function buildDaemonComponents(
  settings: Settings,
  logger: Logger,
  clock: Clock,
): Promise<Result<DaemonComponents, string>> {
  const {instance, cluster, timing, voter} = settings;
  const rpc = new RpcClient(
    cluster.key,
    instance.deployment,
    outgoingAddress(settings),
  );
  const control = new ControlClient({
    rpc,
    clock,
    seeds: cluster.voters.map(({id, address, port}) => ({
      instance: id,
      address,
      port,
    })),
    callTimeoutMs: timing.rpc_timeout_ms,
  });
  const targets = new TargetClient(
    (address, head, sentAtMs) => hear({...address, ...head, sentAtMs}),
    () => clock.nowMs(),
  );
  let host: VoterHost | undefined;
  if (voter) {
    const opened = await VoterHost.open({
      settings,
      dataFolder: voter.data_folder,
      rpc,
      clock,
      logger,
      addressOf: id => control.addressOf(id),
      sendOrder: createOrderSender(settings, targets, () => host),
    });
    if (opened.isErr()) return err(opened.error);
    host = opened.value;
  }
  const holder = holderId(`${instance.id}/${randomUUID()}`);
  const tables = createEntryTables(
    holder,
    instanceId(instance.id),
    zoneId(instance.zone),
  );
  const hear = (head: HeardHead) => {
    const outcome = hearTarget(tables, head, clock.nowMs());
    if (outcome === 'unchanged') return;
    const {target, incarnation} = head;
    logger.info('statement_heard', {target, incarnation, outcome});
    const row = tables.targets.get(target);
    if (row) syncCandidate(tables, row);
    scheduler.dispatch();
  };
  const scheduler: Scheduler = new Scheduler({
    tables,
    clock,
    logger,
    limits: settings.limits,
    requestCapacity: () => heartbeat.sendSoon(),
  });
  const heartbeat: HeartbeatLoop = new HeartbeatLoop({
    tables,
    control,
    clock,
    logger,
    heartbeatMs: timing.heartbeat_ms,
    leaseMs: timing.view_lease_ms,
    demand: () => scheduler.demand(),
    replica: () => heartbeatReplica(settings, host),
    onResponse: () => scheduler.dispatch(),
  });
  const metrics = createMetrics({
    activeRunCount: () => tables.activeRuns.size,
    waitingCount: () => scheduler.waitingCount,
    configRevision: () => tables.config.revision,
    leaseRemainingMs: () => Math.max(0, tables.viewLeaseEndMs - clock.nowMs()),
  });
  const ledger = new LedgerClient({
    control,
    clock,
    holder,
    limits: settings.limits,
  });
  return ok({
    settings,
    clock,
    logger,
    rpc,
    control,
    host,
    tables,
    scheduler,
    heartbeat,
    targets,
    ledger,
    metrics,
    isDraining: false,
  });
}

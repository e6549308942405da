/**
 * Assembles a daemon from its parts: the entry role always, a control voter
 * when the settings give a data folder.
 */
import {randomUUID} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import {err, ok, type Result} from 'neverthrow';
import {
  instanceId,
  targetId,
  zoneId,
  type Logger,
  type Settings,
} from '@samphirefield/core';
import {createBudget, holderId} from '@samphirefield/policy';
import {systemClock, type Clock} from './clock/index.js';
import {
  ControlClient,
  createEntryTables,
  hasViewLease,
  HeartbeatLoop,
  type EntryTables,
} from './entry/index.js';
import {mountGenerationApi, type GenerationDeps} from './generations/index.js';
import {
  createApp,
  startServer,
  type App,
  type RunningServer,
} from './http/index.js';
import {createMetrics, type Metrics} from './metrics/index.js';
import {
  createBootstrap,
  mountOperatorApi,
  type ReplicaInfo,
} from './operators/index.js';
import {Claims, mountPlainApi} from './plain/index.js';
import {
  emptySchema,
  envelopeSchema,
  heartbeatSchema,
  ledgerCommandSchema,
  operatorCommandSchema,
  peekSchema,
  RpcClient,
  RpcServer,
} from './rpc/index.js';
import {Scheduler} from './scheduler/index.js';
import {mountAnnounceApi, TargetClient} from './targets/index.js';
import {
  advertisedAddress,
  VoterHost,
  type NotLeader,
  type OrderSender,
} from './voter/index.js';

const ENTRY_TICK_MS = 100;
const FORGET_HEARD_MS = 60_000;
const DRAIN_POLL_MS = 50;
const NO_VOTER: NotLeader = {kind: 'not_leader', leader: undefined};

export interface RunningDaemon {
  readonly callers: RunningServer;
  readonly internal: RunningServer;
  readonly tables: EntryTables;
  readonly host: VoterHost | undefined;
  /** Ends new work, lets streams run to their end, and stops. */
  readonly drain: () => Promise<void>;
  /** Stops at once. */
  readonly stop: () => Promise<void>;
}

/** The parts that the features plug into. */
interface Parts {
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
  readonly claims: Claims;
  readonly metrics: Metrics;
  isDraining: boolean;
}

function registerVoterMethods(
  server: RpcServer,
  host: VoterHost | undefined,
): void {
  server.register('raft.step', envelopeSchema, envelope =>
    host?.receive(envelope),
  );
  server.register(
    'entry.heartbeat',
    heartbeatSchema,
    heartbeat => host?.handleHeartbeat(heartbeat) ?? NO_VOTER,
  );
  server.register(
    'ledger.apply',
    ledgerCommandSchema,
    command => host?.applyLedger(command as never) ?? NO_VOTER,
  );
  server.register(
    'ledger.peek',
    peekSchema,
    ({key, fingerprint}) => host?.peek(key, fingerprint) ?? NO_VOTER,
  );
  server.register(
    'operator.command',
    operatorCommandSchema,
    command => host?.handleOperator(command) ?? NO_VOTER,
  );
  server.register(
    'operator.status',
    emptySchema,
    () => host?.status() ?? NO_VOTER,
  );
  server.register(
    'operator.config',
    emptySchema,
    () => host?.config() ?? NO_VOTER,
  );
  server.register('voter.info', emptySchema, (): ReplicaInfo => ({
    hasDisk: host !== undefined,
    isMember: host?.node.isMember ?? false,
  }));
}

function mountHealth(app: App, parts: Parts): void {
  const {tables, clock, metrics} = parts;
  app.get('/healthz', context => context.json({instance: tables.instance}));
  app.get('/readyz', context => {
    const hasLease = hasViewLease(tables, clock.nowMs());
    const isReady = hasLease && !parts.isDraining;
    const body = {
      ready: isReady,
      view_lease: hasLease,
      draining: parts.isDraining,
      revision: tables.config.revision,
    };
    return context.json(body, isReady ? 200 : 503);
  });
  app.get('/metrics', async context => {
    const text = await metrics.registry.metrics();
    return context.text(text, 200, {
      'content-type': metrics.registry.contentType,
    });
  });
}

function buildCallersApp(parts: Parts): App {
  const {settings, tables, scheduler, targets, clock, logger, metrics, claims} =
    parts;
  const deps: GenerationDeps = {
    tables,
    scheduler,
    targets,
    clock,
    logger,
    metrics,
    timing: settings.timing,
    budget: createBudget(),
    hurry: () => parts.heartbeat.hurry(),
  };
  const {body_bytes, stream_buffer_bytes, stored_answer_bytes} =
    settings.limits;
  const app = createApp();
  mountHealth(app, parts);
  mountGenerationApi(app, {
    deps,
    sealKey: settings.cluster.key,
    maxBodyBytes: body_bytes,
    maxBufferedBytes: stream_buffer_bytes,
  });
  mountPlainApi(app, {
    deps,
    claims,
    maxBodyBytes: body_bytes,
    maxStoredBytes: stored_answer_bytes,
  });
  return app;
}

function buildInternalApp(parts: Parts): App {
  const {settings, clock, logger, rpc, control, host, tables, heartbeat} =
    parts;
  const app = createApp();
  mountHealth(app, parts);
  const server = new RpcServer(
    settings.cluster.key,
    settings.instance.deployment,
    logger,
    clock.nowMs,
  );
  registerVoterMethods(server, host);
  server.mount(app);
  mountAnnounceApi(app, {
    key: settings.targets.key,
    tables,
    clock,
    logger,
    onNews: () => heartbeat.hurry(),
  });
  mountOperatorApi(app, {
    key: settings.operators.key,
    control,
    clock,
    logger,
    bootstrap: createBootstrap(settings, rpc, host),
  });
  return app;
}

async function buildParts(
  settings: Settings,
  logger: Logger,
  clock: Clock,
): Promise<Result<Parts, string>> {
  const {instance, cluster, timing, voter} = settings;
  const rpc = new RpcClient(
    cluster.key,
    instance.deployment,
    sourceAddress(settings),
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
  const targets = new TargetClient();
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
  const scheduler: Scheduler = new Scheduler({
    tables,
    clock,
    logger,
    limits: settings.limits,
    wantRoom: () => heartbeat.hurry(),
  });
  const heartbeat: HeartbeatLoop = new HeartbeatLoop({
    tables,
    control,
    clock,
    logger,
    heartbeatMs: timing.heartbeat_ms,
    leaseMs: timing.view_lease_ms,
    demand: () => scheduler.demand(),
    replica: () => replicaOf(settings, host),
    onNews: () => scheduler.dispatch(),
  });
  const metrics = createMetrics({
    openStreams: () => tables.streams.size,
    waiting: () => scheduler.waitingCount,
    revision: () => tables.config.revision,
    leaseLeftMs: () => Math.max(0, tables.viewLeaseEndMs - clock.nowMs()),
  });
  const claims = new Claims({control, clock, holder, limits: settings.limits});
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
    claims,
    metrics,
    isDraining: false,
  });
}

/** Sends orders with the key of targets, while this daemon still leads. */
function createOrderSender(
  settings: Settings,
  targets: TargetClient,
  host: () => VoterHost | undefined,
): OrderSender {
  return async (order, announcement, timeoutMs) => {
    const {address, port} = announcement;
    const {target, incarnation, model, version, epoch} = order;
    const sent = await targets.order(
      {target, incarnation, address, port},
      settings.targets.key,
      {kind: 'load_model', model, version, epoch},
      () => host()?.node.holdsLease() ?? false,
      timeoutMs,
    );
    return sent.mapErr(error => error.kind);
  };
}

const ANY_ADDRESS = ['0.0.0.0', '::'];

/** Daemons call each other from the address that they are known by. */
function sourceAddress(settings: Settings): string | undefined {
  const {address} = settings.internal;
  return ANY_ADDRESS.includes(address) ? undefined : address;
}

function replicaOf(settings: Settings, host: VoterHost | undefined) {
  if (host === undefined) return undefined;
  const {address, port} = advertisedAddress(settings);
  return {id: host.replicaId, address, port, isMember: host.node.isMember};
}

function tickEntry(parts: Parts): void {
  const {tables, clock, scheduler} = parts;
  const nowMs = clock.nowMs();
  for (const [name, row] of tables.heard) {
    if (nowMs - row.heardAtMs > FORGET_HEARD_MS)
      tables.heard.delete(targetId(name));
  }
  scheduler.tick();
}

/** Waits until nothing of this entry's work is left. */
async function waitForQuiet(parts: Parts): Promise<void> {
  const {tables, scheduler, claims} = parts;
  while (
    tables.streams.size > 0 ||
    scheduler.waitingCount > 0 ||
    claims.pendingRecords > 0
  ) {
    await delay(DRAIN_POLL_MS);
  }
}

export async function startDaemon(
  settings: Settings,
  logger: Logger,
  clock: Clock = systemClock,
): Promise<Result<RunningDaemon, string>> {
  const built = await buildParts(settings, logger, clock);
  if (built.isErr()) return err(built.error);
  const parts = built.value;
  const {callers, internal} = settings;
  let servers: readonly [RunningServer, RunningServer];
  try {
    const internalServer = await startServer(
      buildInternalApp(parts),
      internal.address,
      internal.port,
    );
    servers = [
      await startServer(buildCallersApp(parts), callers.address, callers.port),
      internalServer,
    ];
  } catch (error) {
    await parts.host?.stop();
    return err((error as Error).message);
  }
  parts.host?.start();
  parts.heartbeat.start();
  const ticker = setInterval(() => tickEntry(parts), ENTRY_TICK_MS);
  const stop = async () => {
    clearInterval(ticker);
    parts.heartbeat.stop();
    await parts.host?.stop();
    await Promise.all(servers.map(server => server.close()));
    await parts.targets.close();
    await parts.rpc.close();
  };
  const drain = async () => {
    parts.isDraining = true;
    parts.scheduler.drain();
    logger.info('draining', {open_requests: parts.tables.streams.size});
    await waitForQuiet(parts);
    await stop();
    logger.info('stopped', {});
  };
  const [callersServer, internalServer] = servers;
  return ok({
    callers: callersServer,
    internal: internalServer,
    tables: parts.tables,
    host: parts.host,
    drain,
    stop,
  });
}

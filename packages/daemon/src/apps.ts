/** Builds the HTTP applications of a daemon's two listeners. */
import {createRetryBudget} from '@samphirefield/policy';
import {hasViewLease} from './entry/index.js';
import {mountGenerationApi, type GenerationDeps} from './generations/index.js';
import {createApp, type App} from './http/index.js';
import {
  createBootstrap,
  mountOperatorApi,
  type ReplicaInfo,
} from './operators/index.js';
import type {DaemonComponents} from './components.js';
import {mountPlainApi} from './plain/index.js';
import {
  emptySchema,
  envelopeSchema,
  heartbeatSchema,
  ledgerCommandSchema,
  operatorCommandSchema,
  peekSchema,
  RpcServer,
} from './rpc/index.js';
import {mountAnnounceApi} from './targets/index.js';
import type {NotLeader, VoterHost} from './voter/index.js';

const NO_VOTER: NotLeader = {kind: 'not_leader', leader: undefined};

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
    isMember: host?.node.hasJoinedGroup ?? false,
  }));
}

function mountHealth(app: App, components: DaemonComponents): void {
  const {tables, clock, metrics} = components;
  app.get('/healthz', context => context.json({instance: tables.instance}));
  app.get('/readyz', context => {
    const hasLease = hasViewLease(tables, clock.nowMs());
    const isReady = hasLease && !components.isDraining;
    const body = {
      ready: isReady,
      view_lease: hasLease,
      draining: components.isDraining,
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

export function buildCallersApp(components: DaemonComponents): App {
  const {settings, tables, scheduler, targets, clock, logger, metrics, ledger} =
    components;
  const deps: GenerationDeps = {
    tables,
    scheduler,
    targets,
    clock,
    logger,
    metrics,
    timing: settings.timing,
    budget: createRetryBudget(),
    isDraining: () => components.isDraining,
    sendHeartbeatSoon: () => components.heartbeat.sendSoon(),
  };
  const {body_bytes, stream_buffer_bytes, stored_answer_bytes} =
    settings.limits;
  const app = createApp();
  mountHealth(app, components);
  mountGenerationApi(app, {
    deps,
    tokenKey: settings.cluster.key,
    maxBodyBytes: body_bytes,
    maxBufferedBytes: stream_buffer_bytes,
  });
  mountPlainApi(app, {
    deps,
    ledger,
    maxBodyBytes: body_bytes,
    maxStoredBytes: stored_answer_bytes,
  });
  return app;
}

export function buildInternalApp(components: DaemonComponents): App {
  const {settings, clock, logger, rpc, control, host, tables, heartbeat} =
    components;
  const app = createApp();
  mountHealth(app, components);
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
    onUpdate: () => heartbeat.sendSoon(),
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

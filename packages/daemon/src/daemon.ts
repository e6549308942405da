/**
 * A running daemon: it always has the entry role, and hosts a replica of the
 * control group when the settings name a data folder.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {err, ok, type Result} from 'neverthrow';
import {
  ConnectionGuard,
  createClientAccount,
  targetId,
  type Logger,
  type Settings,
} from '@samphirefield/core';
import {buildCallersApp, buildInternalApp} from './apps.js';
import {systemClock, type Clock} from './clock/index.js';
import type {EntryTables} from './entry/index.js';
import {startServer, type RunningServer} from './http/index.js';
import {buildDaemonComponents, type DaemonComponents} from './components.js';
import type {VoterHost} from './voter/index.js';

const ENTRY_TICK_MS = 100;
const ANNOUNCEMENT_RETENTION_MS = 60_000;
const DRAIN_POLL_MS = 50;

export interface RunningDaemon {
  readonly callers: RunningServer;
  readonly internal: RunningServer;
  readonly tables: EntryTables;
  readonly host: VoterHost | undefined;
  /** Refuses new requests, waits for accepted ones to end, and stops. */
  readonly drain: () => Promise<void>;
  /** Stops at once. */
  readonly stop: () => Promise<void>;
}

function tickEntry(components: DaemonComponents): void {
  const {tables, clock, scheduler} = components;
  const nowMs = clock.nowMs();
  for (const [name, row] of tables.latestAnnouncements) {
    if (nowMs - row.receivedAtMs > ANNOUNCEMENT_RETENTION_MS)
      tables.latestAnnouncements.delete(targetId(name));
  }
  scheduler.tick();
}

/** Waits until this entry has no request and no ledger command in progress. */
async function waitForIdle(components: DaemonComponents): Promise<void> {
  const {tables, scheduler, ledger} = components;
  while (
    tables.activeRuns.size > 0 ||
    scheduler.waitingCount > 0 ||
    ledger.pendingRecords > 0
  ) {
    await delay(DRAIN_POLL_MS);
  }
}

export async function startDaemon(
  settings: Settings,
  logger: Logger,
  clock: Clock = systemClock,
): Promise<Result<RunningDaemon, string>> {
  const built = await buildDaemonComponents(settings, logger, clock);
  if (built.isErr()) return err(built.error);
  const components = built.value;
  const {callers, internal} = settings;
  const account = createClientAccount({}, logger);
  const guard = new ConnectionGuard(account);
  components.metrics.addAccount(() => account.metrics());
  let servers: readonly [RunningServer, RunningServer];
  try {
    const internalServer = await startServer(
      buildInternalApp(components),
      internal.address,
      internal.port,
      guard,
    );
    servers = [
      await startServer(
        buildCallersApp(components),
        callers.address,
        callers.port,
        guard,
      ),
      internalServer,
    ];
  } catch (error) {
    await components.host?.stop();
    return err((error as Error).message);
  }
  components.host?.start();
  components.heartbeat.start();
  const ticker = setInterval(() => tickEntry(components), ENTRY_TICK_MS);
  const stop = async () => {
    clearInterval(ticker);
    guard.close();
    components.heartbeat.stop();
    await components.host?.stop();
    await Promise.all(servers.map(server => server.close()));
    await components.targets.close();
    await components.rpc.close();
  };
  const drain = async () => {
    components.isDraining = true;
    logger.info('draining', {open_requests: components.tables.activeRuns.size});
    await waitForIdle(components);
    await stop();
    logger.info('stopped', {});
  };
  const [callersServer, internalServer] = servers;
  return ok({
    callers: callersServer,
    internal: internalServer,
    tables: components.tables,
    host: components.host,
    drain,
    stop,
  });
}

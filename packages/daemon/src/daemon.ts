/**
 * A running daemon: the entry role always, a control voter when the settings
 * give a data folder.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {err, ok, type Result} from 'neverthrow';
import {targetId, type Logger, type Settings} from '@samphirefield/core';
import {buildCallersApp, buildInternalApp} from './apps.js';
import {systemClock, type Clock} from './clock/index.js';
import type {EntryTables} from './entry/index.js';
import {startServer, type RunningServer} from './http/index.js';
import {buildParts, type Parts} from './parts.js';
import type {VoterHost} from './voter/index.js';

const ENTRY_TICK_MS = 100;
const FORGET_HEARD_MS = 60_000;
const DRAIN_POLL_MS = 50;

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

function tickEntry(parts: Parts): void {
  const {tables, clock, scheduler} = parts;
  const nowMs = clock.nowMs();
  for (const [name, row] of tables.latestAnnouncements) {
    if (nowMs - row.receivedAtMs > FORGET_HEARD_MS)
      tables.latestAnnouncements.delete(targetId(name));
  }
  scheduler.tick();
}

/** Waits until nothing of this entry's work is left. */
async function waitForQuiet(parts: Parts): Promise<void> {
  const {tables, scheduler, claims} = parts;
  while (
    tables.activeRuns.size > 0 ||
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
    logger.info('draining', {open_requests: parts.tables.activeRuns.size});
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

/** A pool of kept-alive connections to targets, by address. */
import type {KeptConnections} from '@samphirefield/policy/reachability';
import {UpstreamConnection, type ConnectionEvents} from './connection.js';
import type {ConnectOutcome} from './connect.js';
import type {UpstreamAddress} from './types.js';

const SWEEP_EVERY_MS = 500;

interface AddressPool {
  idle: UpstreamConnection[];
  openCount: number;
  lastReceivedAtMs: number | undefined;
}

const keyOf = ({host, port}: UpstreamAddress) => `${host}:${port}`;

function isUsable(connection: UpstreamConnection, nowMs: number): boolean {
  return !connection.isClosed && nowMs < connection.idleUntilMs;
}

/** Takes the connection that became idle last of those that may carry it. */
function takeIdle(
  {idle}: AddressPool,
  attemptId: string | undefined,
): UpstreamConnection | undefined {
  const nowMs = performance.now();
  const isFit = (item: UpstreamConnection) =>
    isUsable(item, nowMs) && item.mayCarry(attemptId);
  const position = idle.findLastIndex(isFit);
  return position < 0 ? undefined : idle.splice(position, 1)[0];
}

export class UpstreamPool {
  private readonly byAddress = new Map<string, AddressPool>();
  private readonly sweeper: NodeJS.Timeout;

  constructor() {
    this.sweeper = setInterval(() => this.sweep(), SWEEP_EVERY_MS);
    this.sweeper.unref();
  }

  /**
   * Returns an idle connection that may carry the request, or opens one;
   * undefined when that fails. `onConnect` is told how opening one ended.
   */
  async acquire(
    address: UpstreamAddress,
    timeoutMs: number,
    attemptId: string | undefined,
    onConnect?: (outcome: ConnectOutcome) => void,
  ): Promise<UpstreamConnection | undefined> {
    const pool = this.poolOf(address);
    const idle = takeIdle(pool, attemptId);
    if (idle) return idle;
    const events: ConnectionEvents = {
      onIdle: connection => pool.idle.push(connection),
      onClosed: closed => {
        pool.openCount -= 1;
        const position = pool.idle.indexOf(closed);
        if (position >= 0) pool.idle.splice(position, 1);
      },
      onReceived: () => {
        pool.lastReceivedAtMs = performance.now();
      },
    };
    pool.openCount += 1;
    const connection = await UpstreamConnection.open(
      address,
      timeoutMs,
      events,
      onConnect,
    );
    if (connection === undefined) pool.openCount -= 1;
    return connection;
  }

  /** What the open connections to an address tell of it. */
  keptConnections(address: UpstreamAddress): KeptConnections {
    const pool = this.byAddress.get(keyOf(address));
    const nowMs = performance.now();
    const hasIdle = pool?.idle.some(item => isUsable(item, nowMs)) ?? false;
    return {hasIdle, lastReceivedAtMs: pool?.lastReceivedAtMs};
  }

  /** Closes the idle connections to an address that cannot be used any more. */
  closeIdle(address: UpstreamAddress): void {
    const pool = this.byAddress.get(keyOf(address));
    for (const connection of [...(pool?.idle ?? [])]) connection.destroy();
  }

  close(): void {
    clearInterval(this.sweeper);
    for (const pool of this.byAddress.values()) {
      for (const connection of [...pool.idle]) connection.destroy();
    }
  }

  private poolOf(address: UpstreamAddress): AddressPool {
    const key = keyOf(address);
    const existing = this.byAddress.get(key);
    if (existing) return existing;
    const pool: AddressPool = {
      idle: [],
      openCount: 0,
      lastReceivedAtMs: undefined,
    };
    this.byAddress.set(key, pool);
    return pool;
  }

  private sweep(): void {
    const nowMs = performance.now();
    for (const [key, pool] of this.byAddress) {
      const expired = pool.idle.filter(item => nowMs >= item.idleUntilMs);
      for (const connection of expired) connection.destroy();
      if (pool.openCount === 0) this.byAddress.delete(key);
    }
  }
}

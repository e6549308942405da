/**
 * The account of what a process holds for its clients, against what it may hold.
 * It has neither clock nor I/O. Designed for some thousands of connections and
 * bodies of some megabytes, of which all together would not fit.
 *
 * Without pressure everything is granted. Beyond half of the memory, a group of
 * clients (an address, a key) gets no more than is still free, so one group
 * cannot take what the others need; beyond seven eighths only small holders
 * grow. A holder that gets nothing waits, without being read, for a bounded
 * time. Meanwhile the holders with the most bytes and the longest time without
 * progress are evicted.
 */
import {Holder, type HolderAccount} from './holder.js';
import {
  CONNECTION_BYTES,
  RESOURCE_KINDS,
  type AccountEvents,
  type AccountLimits,
  type LimitedResource,
  type ResourceKind,
} from './types.js';

/** A holder that stays below this is small: four heads of the usual limit. */
export const SMALL_HOLDER_BYTES = 131_072;
/**
 * A holder without progress for this long may be evicted; a client that still
 * sends makes progress within this time.
 */
export const STALLED_AFTER_MS = 1_000;
/** How long a holder waits for memory before it is refused. */
export const MAX_WAIT_MS = 1_000;
/** Share of the memory beyond which groups are limited. */
const GROUP_LIMIT_SHARE = 1 / 2;
/**
 * A holder's groups are not limited while all others hold at most this share.
 */
const QUIET_SHARE = 1 / 8;
/** Share of the memory that only small holders may exceed. */
const LARGE_SHARE = 7 / 8;
/** Share at which a resource becomes short, and at which it is no longer. */
const SHORT_SHARE = 3 / 4;
const RELIEVED_SHARE = 5 / 8;
/** Share of the memory that one sweep takes back at most. */
const SWEEP_SHARE = 1 / 8;

interface Group {
  bytes: number;
  connections: number;
}

interface Waiter {
  readonly holder: Holder;
  readonly kind: ResourceKind;
  readonly bytes: number;
  readonly untilMs: number;
  readonly onEnd: (isGranted: boolean) => void;
}

const NO_EVENTS: AccountEvents = {onPressure: () => undefined};

export class ResourceAccount {
  private readonly holders = new Set<Holder>();
  private readonly groups = new Map<string, Group>();
  private readonly bytesByKind = new Map<ResourceKind, number>();
  private readonly short = new Set<LimitedResource>();
  private waiters: Waiter[] = [];
  private heldBytes = 0;
  private readonly forHolders: HolderAccount = {
    mayGrow: (holder, bytes) => this.mayGrow(holder, bytes),
    change: (holder, kind, bytes) => this.change(holder, kind, bytes),
    join: (holder, name) => this.join(holder, name),
    leave: (holder, name) => this.leave(holder, name),
    remove: holder => this.remove(holder),
  };

  constructor(
    readonly limits: AccountLimits,
    private readonly events: AccountEvents = NO_EVENTS,
  ) {}

  get connectionCount(): number {
    return this.holders.size;
  }

  get totalBytes(): number {
    return this.heldBytes;
  }

  get waitingCount(): number {
    return this.waiters.length;
  }

  /** Whether a holder waits, or a resource is short. */
  get isUnderPressure(): boolean {
    return this.waiters.length > 0 || this.short.size > 0;
  }

  bytesOf(kind: ResourceKind): number {
    return this.bytesByKind.get(kind) ?? 0;
  }

  /** Held bytes of each kind and the connections, as metrics. */
  metrics(): Record<string, number> {
    const bytes = RESOURCE_KINDS.map(kind => [
      `held_${kind}_bytes`,
      this.bytesOf(kind),
    ]);
    return {
      ...Object.fromEntries(bytes),
      held_limit_bytes: this.limits.maxBytes,
      client_connections: this.connectionCount,
      client_connections_limit: this.limits.maxConnections,
    };
  }

  /** Sets what the process holds for itself, not for a client. */
  setOwn(kind: 'links' | 'tables' | 'spare', bytes: number): void {
    this.addBytes(kind, bytes - this.bytesOf(kind));
  }

  /** Counts a new connection; undefined if there are too many already. */
  open(address: string, nowMs: number): Holder | undefined {
    if (!this.mayOpen(address)) return undefined;
    const holder = new Holder(this.forHolders, nowMs);
    this.holders.add(holder);
    this.join(holder, address);
    holder.set('connections', CONNECTION_BYTES);
    this.updatePressure();
    return holder;
  }

  /**
   * Reserves bytes as soon as enough are free; `onEnd` is called once, at the
   * latest by the sweep after {@link MAX_WAIT_MS}.
   */
  reserve(
    holder: Holder,
    kind: ResourceKind,
    bytes: number,
    nowMs: number,
    onEnd: (isGranted: boolean) => void,
  ): void {
    if (holder.tryGrow(kind, bytes)) {
      onEnd(true);
      return;
    }
    const untilMs = nowMs + MAX_WAIT_MS;
    this.waiters.push({holder, kind, bytes, untilMs, onEnd});
  }

  /** Grants and ends waits, and evicts under pressure. */
  sweep(nowMs: number): void {
    const {waiters} = this;
    this.waiters = [];
    for (const waiter of waiters) {
      const {holder, kind, bytes} = waiter;
      holder.progress(nowMs);
      if (holder.tryGrow(kind, bytes)) waiter.onEnd(true);
      else if (holder.isClosed || nowMs >= waiter.untilMs) waiter.onEnd(false);
      else this.waiters.push(waiter);
    }
    if (this.waiters.length > 0 || this.short.has('memory'))
      this.evictForMemory(nowMs);
  }

  /**
   * Evicts the stalled connection whose time without progress, multiplied by
   * the number of connections of its address, is longest; connections that have
   * not sent a whole request yet count twice. Returns false if there is none to
   * evict.
   */
  evictConnection(nowMs: number): boolean {
    let worst: Holder | undefined;
    let worstScore = 0;
    for (const holder of this.holders) {
      if (!holder.isEvictable()) continue;
      const score = this.connectionScore(holder, nowMs);
      if (score <= worstScore) continue;
      worst = holder;
      worstScore = score;
    }
    worst?.onEvict();
    return worst !== undefined;
  }

  private connectionScore(holder: Holder, nowMs: number): number {
    const stalledMs = nowMs - holder.lastProgressMs;
    if (stalledMs < STALLED_AFTER_MS) return 0;
    const connections = this.groups.get(holder.groups[0]!)?.connections ?? 1;
    return stalledMs * connections * (holder.hasServed ? 1 : 2);
  }

  private evictForMemory(nowMs: number): void {
    const stalledMs = (holder: Holder) => nowMs - holder.lastProgressMs;
    const score = (holder: Holder) => holder.totalBytes * stalledMs(holder);
    const candidates = [...this.holders]
      .filter(holder => holder.isEvictable())
      // Idle connections free little, and their callers will use them again.
      .filter(holder => holder.totalBytes > CONNECTION_BYTES)
      .filter(holder => stalledMs(holder) >= STALLED_AFTER_MS)
      .sort((a, b) => score(b) - score(a));
    let remainingBytes = this.limits.maxBytes * SWEEP_SHARE;
    for (const holder of candidates) {
      if (remainingBytes <= 0) return;
      remainingBytes -= holder.totalBytes;
      holder.onEvict();
    }
  }

  private mayOpen(address: string): boolean {
    const {maxConnections} = this.limits;
    const free = maxConnections - this.holders.size;
    if (free <= 0) return false;
    if (this.holders.size < maxConnections * SHORT_SHARE) return true;
    return (this.groups.get(address)?.connections ?? 0) <= free;
  }

  private mayGrow(holder: Holder, bytes: number): boolean {
    const {maxBytes} = this.limits;
    const heldAfter = this.heldBytes + bytes;
    if (heldAfter > maxBytes) return false;
    if (holder.totalBytes + bytes <= SMALL_HOLDER_BYTES) return true;
    if (heldAfter > maxBytes * LARGE_SHARE) return false;
    if (heldAfter <= maxBytes * GROUP_LIMIT_SHARE) return true;
    const othersBytes = this.heldBytes - holder.totalBytes;
    if (othersBytes <= maxBytes * QUIET_SHARE) return true;
    const freeBytes = maxBytes - heldAfter;
    return holder.groups.every(
      name => this.groups.get(name)!.bytes + bytes <= freeBytes,
    );
  }

  private change(holder: Holder, kind: ResourceKind, bytes: number): void {
    for (const name of holder.groups) this.groups.get(name)!.bytes += bytes;
    this.addBytes(kind, bytes);
  }

  private addBytes(kind: ResourceKind, bytes: number): void {
    this.bytesByKind.set(kind, this.bytesOf(kind) + bytes);
    this.heldBytes += bytes;
    this.updatePressure();
  }

  private join(holder: Holder, name: string): void {
    const group = this.groups.get(name) ?? {bytes: 0, connections: 0};
    group.bytes += holder.totalBytes;
    group.connections += 1;
    this.groups.set(name, group);
    holder.groups.push(name);
  }

  private leave(holder: Holder, name: string): void {
    const group = this.groups.get(name)!;
    group.bytes -= holder.totalBytes;
    group.connections -= 1;
    if (group.connections === 0) this.groups.delete(name);
  }

  private remove(holder: Holder): void {
    this.holders.delete(holder);
    // The response of a closed connection may end later and leave groups too.
    for (const name of holder.groups.splice(0)) this.leave(holder, name);
    this.updatePressure();
  }

  private updatePressure(): void {
    const {maxBytes, maxConnections} = this.limits;
    this.updateShortage('memory', this.heldBytes / maxBytes);
    this.updateShortage('connections', this.holders.size / maxConnections);
  }

  private updateShortage(resource: LimitedResource, share: number): void {
    const isShort = this.short.has(resource);
    if (isShort ? share >= RELIEVED_SHARE : share < SHORT_SHARE) return;
    if (isShort) this.short.delete(resource);
    else this.short.add(resource);
    this.events.onPressure(resource, !isShort);
  }
}

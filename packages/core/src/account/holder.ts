/** What one connection holds of a process's resources. */
import type {ResourceKind} from './types.js';

/** What a holder calls on its account. */
export interface HolderAccount {
  mayGrow(holder: Holder, bytes: number): boolean;
  change(holder: Holder, kind: ResourceKind, bytes: number): void;
  join(holder: Holder, group: string): void;
  leave(holder: Holder, group: string): void;
  remove(holder: Holder): void;
}

export class Holder {
  /** Sum over all kinds. */
  totalBytes = 0;
  /** Address and, once known, key of the client. */
  readonly groups: string[] = [];
  isClosed = false;
  /**
   * Whether the connection may be closed under pressure. A request that a
   * target runs must not be lost.
   */
  isEvictable: () => boolean = () => true;
  /** Whether the connection has sent a whole request. */
  hasServed = false;
  /** Called when the account evicts this holder, to release what it holds. */
  onEvict: () => void = () => undefined;
  private readonly bytesByKind = new Map<ResourceKind, number>();

  constructor(
    private readonly account: HolderAccount,
    public lastProgressMs: number,
  ) {}

  bytesOf(kind: ResourceKind): number {
    return this.bytesByKind.get(kind) ?? 0;
  }

  /**
   * Reserves more bytes; if too few are free, returns false and changes
   * nothing.
   */
  tryGrow(kind: ResourceKind, bytes: number): boolean {
    if (this.isClosed) return false;
    if (!this.account.mayGrow(this, bytes)) return false;
    this.set(kind, this.bytesOf(kind) + bytes);
    return true;
  }

  /** Sets how much is held of a kind; unlike `tryGrow`, it is never refused. */
  set(kind: ResourceKind, bytes: number): void {
    if (this.isClosed) return;
    const change = bytes - this.bytesOf(kind);
    if (change === 0) return;
    this.bytesByKind.set(kind, bytes);
    this.totalBytes += change;
    this.account.change(this, kind, change);
  }

  /**
   * Counts what is held also for a group of clients, such as those of one key.
   */
  join(group: string): void {
    if (!this.isClosed && !this.groups.includes(group))
      this.account.join(this, group);
  }

  /** Leaves all groups but the first, which is the address. */
  leaveGroups(): void {
    for (const group of this.groups.splice(1)) this.account.leave(this, group);
  }

  progress(nowMs: number): void {
    this.lastProgressMs = nowMs;
  }

  /** Releases everything; later calls change nothing. */
  close(): void {
    if (this.isClosed) return;
    for (const kind of this.bytesByKind.keys()) this.set(kind, 0);
    this.isClosed = true;
    this.account.remove(this);
  }
}

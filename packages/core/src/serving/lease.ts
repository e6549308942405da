/**
 * Gives the handlers of a socket's requests access to the process's account.
 */
import type {Socket} from 'node:net';
import type {ResourceKind} from '../account/index.js';

/** A connection's access to the account. */
export interface MemoryLease {
  /** Reserves more bytes at once; returns false if too few are free. */
  tryGrow(kind: ResourceKind, bytes: number): boolean;
  /** Reserves bytes as soon as enough are free; calls `onEnd` once. */
  reserve(
    kind: ResourceKind,
    bytes: number,
    onEnd: (isGranted: boolean) => void,
  ): void;
  /** Sets how much is held of a kind; it is never refused. */
  set(kind: ResourceKind, bytes: number): void;
  /** Counts what is held also for this group of clients. */
  join(group: string): void;
  /**
   * Calls the listener instead of closing the connection under pressure, until
   * the returned function is called.
   */
  onEvict(listener: () => void): () => void;
}

/** For sockets whose server has no account. */
const UNLIMITED: MemoryLease = {
  tryGrow: () => true,
  reserve: (_kind, _bytes, onEnd) => onEnd(true),
  set: () => undefined,
  join: () => undefined,
  onEvict: () => () => undefined,
};

const leases = new WeakMap<Socket, MemoryLease>();

export function setLease(socket: Socket, lease: MemoryLease): void {
  leases.set(socket, lease);
}

export function leaseOf(socket: Socket | null): MemoryLease {
  return (socket && leases.get(socket)) ?? UNLIMITED;
}

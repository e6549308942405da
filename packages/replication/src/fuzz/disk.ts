/** A simulated disk that may lose unsynced data when its process crashes. */
import type {
  HardState,
  LogEntry,
  PersistBatch,
  PersistentState,
  Snapshot,
} from '../raft/index.js';

export interface Disk {
  hardState: HardState;
  snapshot: Snapshot | undefined;
  entries: LogEntry[];
}

export function createDisk(): Disk {
  return {
    hardState: {term: 0, votedFor: null},
    snapshot: undefined,
    entries: [],
  };
}

/** Writes one synced batch to the disk. */
export function writeBatch(
  disk: Disk,
  batch: PersistBatch,
  logAfterSnapshot: readonly LogEntry[],
): void {
  disk.hardState = batch.hardState ?? disk.hardState;
  if (batch.snapshot) {
    disk.snapshot = batch.snapshot;
    disk.entries = [...logAfterSnapshot];
    return;
  }
  const first = batch.entries[0];
  if (first === undefined) return;
  const base = disk.snapshot?.index ?? 0;
  disk.entries.length = first.index - base - 1;
  disk.entries.push(...batch.entries);
}

export function readDisk(disk: Disk): PersistentState {
  return {
    hardState: disk.hardState,
    snapshot: disk.snapshot,
    entries: [...disk.entries],
  };
}

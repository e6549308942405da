/** The stored data of a replica, and storage errors. */
import type {HardState, LogEntry, Snapshot} from '../raft/index.js';

export type StorageError =
  | {
      readonly kind: 'damaged';
      readonly file: string;
      readonly offsetBytes: number;
      readonly reason: string;
    }
  | {readonly kind: 'locked'; readonly file: string; readonly holder: string}
  | {
      readonly kind: 'foreign';
      readonly file: string;
      readonly found: string;
      readonly expected: string;
    }
  | {readonly kind: 'disk'; readonly file: string; readonly reason: string};

/** The stored data that a replica finds on its disk when it starts. */
export interface StoredState {
  readonly hardState: HardState;
  readonly snapshot: Snapshot | undefined;
  readonly entries: readonly LogEntry[];
  /** Bytes of an incomplete last write that were truncated from the log. */
  readonly truncatedBytes: number;
}

/** One write to the log. Replaces all log entries from its first index on. */
export interface LogBatch {
  readonly hardState: HardState | undefined;
  readonly entries: readonly LogEntry[];
}

/**
 * The storage of a replica. Both writes resolve only after the data is synced.
 * After the first failed write, every later one fails as well.
 */
export interface ReplicaStorage {
  append(batch: LogBatch): Promise<void>;
  /** Replaces the stored snapshot and log with these, atomically. */
  replaceWithSnapshot(
    snapshot: Snapshot,
    hardState: HardState,
    entries: readonly LogEntry[],
  ): Promise<void>;
  close(): Promise<void>;
}

export function formatStorageError(error: StorageError): string {
  switch (error.kind) {
    case 'damaged':
      return `${error.file} is damaged at byte ${error.offsetBytes}: ${error.reason}; this replica does not repair it. To join again as a new replica, move the folder away and restart with an empty one`;
    case 'locked':
      return `${error.file} is locked by ${error.holder}`;
    case 'foreign':
      return `${error.file} belongs to ${error.found}, not to ${error.expected}`;
    case 'disk':
      return `${error.file}: ${error.reason}`;
  }
}

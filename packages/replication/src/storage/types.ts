/** What a replica stores, and the errors of its disk. */
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

/** Everything a replica knew when it stopped. */
export interface StoredState {
  readonly hardState: HardState;
  readonly snapshot: Snapshot | undefined;
  readonly entries: readonly LogEntry[];
  /** Bytes of a torn last write that were cut off. */
  readonly truncatedBytes: number;
}

/** One write of the log: replaces the log's tail from its first entry on. */
export interface LogBatch {
  readonly hardState: HardState | undefined;
  readonly entries: readonly LogEntry[];
}

/**
 * The disk of a replica. Both writes resolve only after the data is synced;
 * after the first failure every later call fails as well.
 */
export interface ReplicaStorage {
  append(batch: LogBatch): Promise<void>;
  /** Replaces snapshot and log by these, in one atomic step. */
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
      return `${error.file} is damaged at byte ${error.offsetBytes}: ${error.reason}; this replica will not guess. Move the folder away and restart with an empty one to join again as a new replica`;
    case 'locked':
      return `${error.file} is held by ${error.holder}`;
    case 'foreign':
      return `${error.file} belongs to ${error.found}, not to ${error.expected}`;
    case 'disk':
      return `${error.file}: ${error.reason}`;
  }
}

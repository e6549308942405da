/** The part of the log after the latest snapshot, kept in memory. */
import type {LogEntry, Snapshot} from './types.js';

export interface RaftLog {
  snapshot: Snapshot | undefined;
  /** entries[0] has index `snapshotIndex + 1`. */
  entries: LogEntry[];
}

export function snapshotIndex(log: RaftLog): number {
  return log.snapshot?.index ?? 0;
}

export function lastIndex(log: RaftLog): number {
  return snapshotIndex(log) + log.entries.length;
}

export function lastTerm(log: RaftLog): number {
  return log.entries.at(-1)?.term ?? log.snapshot?.term ?? 0;
}

/** Returns the term at an index; undefined if the log doesn't contain it. */
export function termAt(log: RaftLog, index: number): number | undefined {
  const base = snapshotIndex(log);
  if (index === base) return log.snapshot?.term ?? 0;
  return log.entries[index - base - 1]?.term;
}

export function entryAt(log: RaftLog, index: number): LogEntry | undefined {
  return log.entries[index - snapshotIndex(log) - 1];
}

/** Returns the entries from `first` to `last`, both included. */
export function sliceEntries(
  log: RaftLog,
  first: number,
  last: number,
): LogEntry[] {
  const base = snapshotIndex(log);
  return log.entries.slice(first - base - 1, last - base);
}

/** Drops all entries from `index` on. */
export function truncateFrom(log: RaftLog, index: number): void {
  log.entries.length = index - snapshotIndex(log) - 1;
}

/** Replaces all entries up to the snapshot's index with the snapshot. */
export function compactTo(log: RaftLog, snapshot: Snapshot): void {
  const kept = sliceEntries(log, snapshot.index + 1, lastIndex(log));
  log.snapshot = snapshot;
  log.entries = kept;
}

/** Returns the first index in the log with the same term as `index`. */
export function firstIndexOfTerm(log: RaftLog, index: number): number {
  const term = termAt(log, index);
  let first = index;
  while (first > snapshotIndex(log) + 1 && termAt(log, first - 1) === term) {
    first -= 1;
  }
  return first;
}

export function estimateEntryBytes(entry: LogEntry): number {
  const OVERHEAD_BYTES = 32;
  return entry.kind === 'command'
    ? Buffer.byteLength(entry.data) + OVERHEAD_BYTES
    : OVERHEAD_BYTES;
}

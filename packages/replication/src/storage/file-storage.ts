/**
 * Log and snapshot files in one data folder.
 *
 * `log-N` holds the log entries after `snapshot-N`. The current pair is the one
 * with the highest N whose log exists. A new pair is written under temporary
 * names and becomes current when its log is renamed, which is the last step.
 */
import {
  open,
  readdir,
  readFile,
  rename,
  rm,
  truncate,
  type FileHandle,
} from 'node:fs/promises';
import {join} from 'node:path';
import {err, ok, type Result} from 'neverthrow';
import type {HardState, LogEntry, Snapshot} from '../raft/index.js';
import {decodeFrames, encodeFrame} from './frame.js';
import {parseLogBatch, parseSnapshot} from './records.js';
import type {
  LogBatch,
  ReplicaStorage,
  StorageError,
  StoredState,
} from './types.js';

const LOG_NAME_PATTERN = /^log-(\d+)$/;
const EMPTY_HARD_STATE: HardState = {term: 0, votedFor: null};

const logFile = (folder: string, index: number) => join(folder, `log-${index}`);
const snapshotFile = (folder: string, index: number) =>
  join(folder, `snapshot-${index}`);

async function writeSynced(file: string, data: Uint8Array): Promise<void> {
  const handle = await open(file, 'w');
  try {
    await handle.writeFile(data);
    await handle.sync();
  } finally {
    await handle.close();
  }
}

async function syncFolder(folder: string): Promise<void> {
  const handle = await open(folder, 'r');
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}

/** Applies batches in order; each replaces the entries from its first on. */
function replayBatches(
  batches: readonly LogBatch[],
  baseIndex: number,
): Result<{hardState: HardState; entries: LogEntry[]}, string> {
  let hardState = EMPTY_HARD_STATE;
  const entries: LogEntry[] = [];
  for (const batch of batches) {
    hardState = batch.hardState ?? hardState;
    for (const entry of batch.entries) {
      const position = entry.index - baseIndex - 1;
      if (position < 0 || position > entries.length) {
        return err(
          `log entry ${entry.index} does not follow log entry ${baseIndex + entries.length}`,
        );
      }
      entries.length = position;
      entries.push(entry);
    }
  }
  return ok({hardState, entries});
}

async function loadSnapshot(
  folder: string,
  index: number,
): Promise<Result<Snapshot | undefined, StorageError>> {
  if (index === 0) return ok(undefined);
  const file = snapshotFile(folder, index);
  const damaged = (reason: string) =>
    err({kind: 'damaged' as const, file, offsetBytes: 0, reason});
  const frames = decodeFrames(await readFile(file));
  if (frames.isErr() || frames.value.values.length !== 1)
    return damaged('it does not hold exactly one frame with a valid checksum');
  const snapshot = parseSnapshot(frames.value.values[0]);
  if (snapshot?.index !== index)
    return damaged('it is not a snapshot of the index in its name');
  return ok(snapshot);
}

async function loadLog(
  folder: string,
  index: number,
): Promise<Result<StoredState, StorageError>> {
  const file = logFile(folder, index);
  const damaged = (offsetBytes: number, reason: string) =>
    err({kind: 'damaged' as const, file, offsetBytes, reason});
  const buffer = await readFile(file);
  const frames = decodeFrames(buffer);
  if (frames.isErr())
    return damaged(frames.error, 'a record before the last one is invalid');
  const {values, validBytes} = frames.value;
  if (values.length === 0)
    return damaged(0, 'its first record, which was synced, is invalid');
  const batches: LogBatch[] = [];
  for (const value of values) {
    const batch = parseLogBatch(value);
    if (batch === undefined) return damaged(0, 'a record is not a log batch');
    batches.push(batch);
  }
  const replayed = replayBatches(batches, index);
  if (replayed.isErr()) return damaged(0, replayed.error);
  const snapshot = await loadSnapshot(folder, index);
  if (snapshot.isErr()) return err(snapshot.error);
  const truncatedBytes = buffer.length - validBytes;
  if (truncatedBytes > 0) await truncate(file, validBytes);
  return ok({...replayed.value, snapshot: snapshot.value, truncatedBytes});
}

async function findCurrentIndex(folder: string): Promise<number | undefined> {
  const indices = (await readdir(folder)).flatMap(name => {
    const match = LOG_NAME_PATTERN.exec(name);
    return match ? [Number(match[1])] : [];
  });
  return indices.length === 0 ? undefined : Math.max(...indices);
}

/** Removes files of earlier pairs and of writes that a crash interrupted. */
async function removeOldFiles(folder: string, index: number): Promise<void> {
  const keptNames = new Set([`log-${index}`, `snapshot-${index}`]);
  for (const name of await readdir(folder)) {
    const isStorageFile = /^(log|snapshot)-\d+(\.tmp)?$/.test(name);
    if (isStorageFile && !keptNames.has(name))
      await rm(join(folder, name), {force: true});
  }
}

class FileStorage implements ReplicaStorage {
  /**
   * The first failed write. After a failed sync, a later successful one does
   * not prove that the earlier data reached the disk.
   */
  private failure: Error | undefined;

  constructor(
    private readonly folder: string,
    private handle: FileHandle,
  ) {}

  async append(batch: LogBatch): Promise<void> {
    await this.writeUnlessFailed(async () => {
      await this.handle.appendFile(encodeFrame(batch));
      await this.handle.datasync();
    });
  }

  async replaceWithSnapshot(
    snapshot: Snapshot,
    hardState: HardState,
    entries: readonly LogEntry[],
  ): Promise<void> {
    await this.writeUnlessFailed(async () => {
      const {folder} = this;
      const log = logFile(folder, snapshot.index);
      const snapshotPath = snapshotFile(folder, snapshot.index);
      await writeSynced(`${snapshotPath}.tmp`, encodeFrame(snapshot));
      await writeSynced(`${log}.tmp`, encodeFrame({hardState, entries}));
      await rename(`${snapshotPath}.tmp`, snapshotPath);
      await syncFolder(folder);
      await rename(`${log}.tmp`, log);
      await syncFolder(folder);
      await this.handle.close();
      this.handle = await open(log, 'a');
      await removeOldFiles(folder, snapshot.index);
    });
  }

  async close(): Promise<void> {
    await this.handle.close();
  }

  private async writeUnlessFailed(write: () => Promise<void>): Promise<void> {
    if (this.failure) throw this.failure;
    try {
      await write();
    } catch (error) {
      this.failure = error as Error;
      throw error;
    }
  }
}

export interface OpenedStorage {
  readonly storage: ReplicaStorage;
  readonly stored: StoredState;
  /** Whether the folder contained no log before. */
  readonly isNew: boolean;
}

/** Opens the log in `folder`; creates an empty one if there is none. */
export async function openFileStorage(
  folder: string,
): Promise<Result<OpenedStorage, StorageError>> {
  try {
    const index = await findCurrentIndex(folder);
    const isNew = index === undefined;
    if (isNew) {
      const firstLog = logFile(folder, 0);
      await writeSynced(
        `${firstLog}.tmp`,
        encodeFrame({hardState: EMPTY_HARD_STATE, entries: []}),
      );
      await rename(`${firstLog}.tmp`, firstLog);
      await syncFolder(folder);
    }
    const stored = await loadLog(folder, index ?? 0);
    if (stored.isErr()) return err(stored.error);
    await removeOldFiles(folder, index ?? 0);
    const handle = await open(logFile(folder, index ?? 0), 'a');
    return ok({
      storage: new FileStorage(folder, handle),
      stored: stored.value,
      isNew,
    });
  } catch (error) {
    return err({kind: 'disk', file: folder, reason: (error as Error).message});
  }
}

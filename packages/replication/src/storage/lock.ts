/**
 * Prevents two processes from using the same data folder. The lock file
 * identifies its holder by pid, process start time and boot id, so that a stale
 * lock, left by a crash, is recognized.
 */
import {
  linkSync,
  mkdirSync,
  readFileSync,
  renameSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {join} from 'node:path';
import {err, ok, type Result} from 'neverthrow';
import type {StorageError} from './types.js';

const LOCK_NAME = 'lock';
/** Index of the start time among the fields after the command name. */
const START_TIME_FIELD_INDEX = 19;

function readFileOr(file: string, fallback: string): string {
  try {
    return readFileSync(file, 'utf8').trim();
  } catch {
    return fallback;
  }
}

/** Returns pid, start time and boot id; undefined if no process has the pid. */
function processIdentity(pid: number): string | undefined {
  const boot = readFileOr('/proc/sys/kernel/random/boot_id', 'unknown-boot');
  const stat = readFileOr(`/proc/${pid}/stat`, '');
  // The command name may contain spaces; the fields after it don't.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const startTime = fields[START_TIME_FIELD_INDEX];
  if (startTime === undefined) return undefined;
  return `${pid} ${startTime} ${boot}`;
}

function isHolderRunning(holder: string): boolean {
  const pid = Number(holder.split(' ')[0]);
  return Number.isInteger(pid) && processIdentity(pid) === holder;
}

export interface FolderLock {
  release(): void;
}

export function lockFolder(folder: string): Result<FolderLock, StorageError> {
  const file = join(folder, LOCK_NAME);
  const ownIdentity = processIdentity(process.pid) ?? `${process.pid}`;
  const temporaryFile = join(folder, `${LOCK_NAME}.${process.pid}`);
  const MAX_ATTEMPTS = 3;
  try {
    mkdirSync(folder, {recursive: true});
    writeFileSync(temporaryFile, ownIdentity);
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      if (tryLink(temporaryFile, file))
        return ok({release: () => rmSync(file, {force: true})});
      const holder = readFileOr(file, '');
      if (isHolderRunning(holder))
        return err({
          kind: 'locked',
          file,
          holder: `process ${holder.split(' ')[0]}`,
        });
      renameSync(file, `${temporaryFile}.stale`);
    }
    return err({
      kind: 'locked',
      file,
      holder: 'another process that is starting',
    });
  } catch (error) {
    return err({kind: 'disk', file, reason: (error as Error).message});
  } finally {
    rmSync(temporaryFile, {force: true});
    rmSync(`${temporaryFile}.stale`, {force: true});
  }
}

function tryLink(from: string, to: string): boolean {
  try {
    linkSync(from, to);
    return true;
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code === 'EEXIST') return false;
    throw error;
  }
}

/**
 * Keeps two processes off one data folder. The lock file names the process by
 * pid, its start time and the boot, so that a lock left by a crash is known.
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
const START_TIME_FIELD = 19;

function readOr(file: string, fallback: string): string {
  try {
    return readFileSync(file, 'utf8').trim();
  } catch {
    return fallback;
  }
}

/** Names a running process; undefined when there is none with this pid. */
function processName(pid: number): string | undefined {
  const boot = readOr('/proc/sys/kernel/random/boot_id', 'unknown-boot');
  const stat = readOr(`/proc/${pid}/stat`, '');
  // The command name may hold spaces; the fields after it do not.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const startTime = fields[START_TIME_FIELD];
  if (startTime === undefined) return undefined;
  return `${pid} ${startTime} ${boot}`;
}

function isHeld(holder: string): boolean {
  const pid = Number(holder.split(' ')[0]);
  return Number.isInteger(pid) && processName(pid) === holder;
}

export interface FolderLock {
  release(): void;
}

export function lockFolder(folder: string): Result<FolderLock, StorageError> {
  const file = join(folder, LOCK_NAME);
  const own = processName(process.pid) ?? `${process.pid}`;
  const temporary = join(folder, `${LOCK_NAME}.${process.pid}`);
  const MAX_TRIES = 3;
  try {
    mkdirSync(folder, {recursive: true});
    writeFileSync(temporary, own);
    for (let attempt = 0; attempt < MAX_TRIES; attempt += 1) {
      if (tryLink(temporary, file))
        return ok({release: () => rmSync(file, {force: true})});
      const holder = readOr(file, '');
      if (isHeld(holder))
        return err({
          kind: 'locked',
          file,
          holder: `process ${holder.split(' ')[0]}`,
        });
      renameSync(file, `${temporary}.stale`);
    }
    return err({kind: 'locked', file, holder: 'another process that starts'});
  } catch (error) {
    return err({kind: 'disk', file, reason: (error as Error).message});
  } finally {
    rmSync(temporary, {force: true});
    rmSync(`${temporary}.stale`, {force: true});
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

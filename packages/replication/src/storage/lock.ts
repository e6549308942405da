/**
 * Prevents two processes from using the same data folder. A lock is a file
 * `lock.N`; the one with the highest number counts. It identifies its holder by
 * pid, process start time and boot id, so that a stale lock, left by a crash, is
 * recognized.
 *
 * A process takes over a stale or released lock by creating the file of the next
 * number, which only one process can do. The file of the highest number is never
 * deleted, so numbers never repeat and a slow process cannot take a number that
 * others have left behind.
 */
import {
  linkSync,
  mkdirSync,
  readdirSync,
  readFileSync,
  renameSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {join} from 'node:path';
import {err, ok, type Result} from 'neverthrow';
import type {StorageError} from './types.js';

const LOCK_NAME = 'lock';
const LOCK_PATTERN = /^lock(?:\.(\d+))?$/;
const RELEASED = 'released';
/** Takeovers by others that a process that starts at the same time awaits. */
const MAX_ATTEMPTS = 3;
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

/** The numbers of the lock files; 0 is the file without a number. */
function lockNumbers(folder: string): number[] {
  return readdirSync(folder).flatMap(name => {
    const match = LOCK_PATTERN.exec(name);
    return match ? [Number(match[1] ?? 0)] : [];
  });
}

function fileOf(folder: string, number: number): string {
  return join(folder, number === 0 ? LOCK_NAME : `${LOCK_NAME}.${number}`);
}

type Attempt =
  | {readonly kind: 'held'; readonly number: number}
  | {readonly kind: 'running'; readonly holder: string}
  | {readonly kind: 'overtaken'};

/** Creates the file after the highest one, unless its holder runs. */
function tryTakeOver(folder: string, temporaryFile: string): Attempt {
  const highest = Math.max(0, ...lockNumbers(folder));
  const holder = readFileOr(fileOf(folder, highest), '');
  if (isHolderRunning(holder)) return {kind: 'running', holder};
  const number = highest + 1;
  const file = fileOf(folder, number);
  if (!tryLink(temporaryFile, file)) return {kind: 'overtaken'};
  const numbers = lockNumbers(folder);
  if (Math.max(...numbers) > number) {
    rmSync(file, {force: true});
    return {kind: 'overtaken'};
  }
  for (const earlier of numbers) {
    if (earlier < number) rmSync(fileOf(folder, earlier), {force: true});
  }
  return {kind: 'held', number};
}

/** A lock that cannot be released is stale once its process has ended. */
function releaseLock(folder: string, number: number): void {
  const file = fileOf(folder, number);
  const temporaryFile = `${file}.${RELEASED}`;
  try {
    writeFileSync(temporaryFile, RELEASED);
    renameSync(temporaryFile, file);
  } catch {
    return;
  }
}

export function lockFolder(folder: string): Result<FolderLock, StorageError> {
  const file = join(folder, LOCK_NAME);
  const ownIdentity = processIdentity(process.pid) ?? `${process.pid}`;
  const temporaryFile = join(folder, `new-${LOCK_NAME}.${process.pid}`);
  try {
    mkdirSync(folder, {recursive: true});
    writeFileSync(temporaryFile, ownIdentity);
    for (let attempts = 0; attempts < MAX_ATTEMPTS; attempts += 1) {
      const attempt = tryTakeOver(folder, temporaryFile);
      if (attempt.kind === 'held') {
        return ok({release: () => releaseLock(folder, attempt.number)});
      }
      if (attempt.kind === 'running') {
        const holder = `process ${attempt.holder.split(' ')[0]}`;
        return err({kind: 'locked', file, holder});
      }
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

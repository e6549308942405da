/** The identity of a disk, created when its data folder is first used. */
import {randomUUID} from 'node:crypto';
import {
  closeSync,
  existsSync,
  fsyncSync,
  openSync,
  readFileSync,
  renameSync,
  writeSync,
} from 'node:fs';
import {join} from 'node:path';
import {err, ok, type Result} from 'neverthrow';
import {replicaId, type ReplicaId} from '../raft/index.js';
import type {StorageError} from './types.js';

const IDENTITY_NAME = 'identity.json';

export interface Identity {
  readonly replica: ReplicaId;
  readonly deployment: string;
}

export function syncFolder(folder: string): void {
  const handle = openSync(folder, 'r');
  try {
    fsyncSync(handle);
  } finally {
    closeSync(handle);
  }
}

/** Writes a file atomically: after a crash it is complete or not there. */
export function writeFileAtomically(
  file: string,
  folder: string,
  data: Uint8Array,
): void {
  const temporaryFile = `${file}.tmp`;
  const handle = openSync(temporaryFile, 'w');
  try {
    let written = 0;
    while (written < data.length) {
      written += writeSync(handle, data, written, data.length - written);
    }
    fsyncSync(handle);
  } finally {
    closeSync(handle);
  }
  renameSync(temporaryFile, file);
  syncFolder(folder);
}

function readIdentity(file: string): Identity | undefined {
  try {
    const value = JSON.parse(readFileSync(file, 'utf8')) as Partial<Identity>;
    const isComplete =
      typeof value.replica === 'string' && typeof value.deployment === 'string';
    return isComplete ? (value as Identity) : undefined;
  } catch {
    return undefined;
  }
}

/** Reads the identity in the folder; creates one if there is none. */
export function openIdentity(
  folder: string,
  instance: string,
  deployment: string,
  makeSuffix: () => string = randomUUID,
): Result<Identity, StorageError> {
  const file = join(folder, IDENTITY_NAME);
  if (!existsSync(file)) {
    const created = {
      replica: replicaId(`${instance}/${makeSuffix()}`),
      deployment,
    };
    try {
      writeFileAtomically(file, folder, Buffer.from(JSON.stringify(created)));
    } catch (error) {
      return err({kind: 'disk', file, reason: (error as Error).message});
    }
    return ok(created);
  }
  const found = readIdentity(file);
  if (found === undefined) {
    return err({
      kind: 'damaged',
      file,
      offsetBytes: 0,
      reason: 'it is not a valid identity',
    });
  }
  const foundOwner = `${found.deployment} ${found.replica.split('/')[0]}`;
  const expected = `${deployment} ${instance}`;
  if (foundOwner !== expected)
    return err({kind: 'foreign', file, found: foundOwner, expected});
  return ok(found);
}

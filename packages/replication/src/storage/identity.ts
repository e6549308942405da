/** The identity of a disk: made once, when the folder is first used. */
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

/** Writes a file so that after a crash it is there whole or not at all. */
export function writeFileAtomically(
  file: string,
  folder: string,
  data: Uint8Array,
): void {
  const temporary = `${file}.tmp`;
  const handle = openSync(temporary, 'w');
  try {
    let written = 0;
    while (written < data.length) {
      written += writeSync(handle, data, written, data.length - written);
    }
    fsyncSync(handle);
  } finally {
    closeSync(handle);
  }
  renameSync(temporary, file);
  syncFolder(folder);
}

function readIdentity(file: string): Identity | undefined {
  try {
    const value = JSON.parse(readFileSync(file, 'utf8')) as Partial<Identity>;
    const isWhole =
      typeof value.replica === 'string' && typeof value.deployment === 'string';
    return isWhole ? (value as Identity) : undefined;
  } catch {
    return undefined;
  }
}

/** Reads the folder's identity, or gives an empty folder a new one. */
export function openIdentity(
  folder: string,
  instance: string,
  deployment: string,
  makeSuffix: () => string = randomUUID,
): Result<Identity, StorageError> {
  const file = join(folder, IDENTITY_NAME);
  if (!existsSync(file)) {
    const made = {
      replica: replicaId(`${instance}/${makeSuffix()}`),
      deployment,
    };
    try {
      writeFileAtomically(file, folder, Buffer.from(JSON.stringify(made)));
    } catch (error) {
      return err({kind: 'disk', file, reason: (error as Error).message});
    }
    return ok(made);
  }
  const found = readIdentity(file);
  if (found === undefined) {
    return err({
      kind: 'damaged',
      file,
      offsetBytes: 0,
      reason: 'it is no identity',
    });
  }
  const owner = `${found.deployment} ${found.replica.split('/')[0]}`;
  const expected = `${deployment} ${instance}`;
  if (owner !== expected)
    return err({kind: 'foreign', file, found: owner, expected});
  return ok(found);
}

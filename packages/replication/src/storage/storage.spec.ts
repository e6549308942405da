/** Log and snapshot files: torn writes, damage, restarts, locks, identities. */
import {expect} from 'earl';
import fc from 'fast-check';
import {after, test} from 'node:test';
import {
  appendFileSync,
  mkdirSync,
  mkdtempSync,
  readFileSync,
  readdirSync,
  rmSync,
  truncateSync,
  writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {replicaId, type LogEntry, type Snapshot} from '../raft/index.js';
import {
  decodeFrames,
  encodeFrame,
  lockFolder,
  openFileStorage,
  openIdentity,
  parseLogBatch,
  parseSnapshot,
} from './index.js';

const root = mkdtempSync(join(tmpdir(), 'samphirefield-storage-'));
let folders = 0;

after(() => rmSync(root, {recursive: true, force: true}));

function newFolder(): string {
  folders += 1;
  const folder = join(root, `${folders}`);
  mkdirSync(folder);
  return folder;
}

const entry = (index: number, term = 1): LogEntry => ({
  index,
  term,
  kind: 'command',
  data: `c${index}`,
});
const SNAPSHOT: Snapshot = {
  index: 3,
  term: 1,
  membership: {replicas: []},
  data: new Uint8Array([1, 2, 3]),
};

async function open(folder: string) {
  return (await openFileStorage(folder))._unsafeUnwrap();
}

/** A folder with two synced writes of one entry each. */
async function written(): Promise<string> {
  const folder = newFolder();
  const {storage} = await open(folder);
  await storage.append({
    hardState: {term: 1, votedFor: replicaId('a/1')},
    entries: [entry(1)],
  });
  await storage.append({hardState: undefined, entries: [entry(2)]});
  await storage.close();
  return folder;
}

test('a restart finds what was synced', async () => {
  const {stored} = await open(await written());
  expect(stored.entries.map(item => item.index)).toEqual([1, 2]);
  expect(stored.hardState).toEqual({term: 1, votedFor: replicaId('a/1')});
});

test('a later entry replaces the tail of the log', async () => {
  const folder = await written();
  const {storage} = await open(folder);
  await storage.append({
    hardState: undefined,
    entries: [entry(2, 5), entry(3, 5)],
  });
  await storage.close();
  const {stored} = await open(folder);
  expect(stored.entries.map(item => item.term)).toEqual([1, 5, 5]);
});

test('a torn last write is cut at every byte, and the rest is kept', async () => {
  const folder = await written();
  const file = join(folder, 'log-0');
  const whole = readFileSync(file);
  const tail = encodeFrame({hardState: undefined, entries: [entry(3)]});
  for (let kept = 1; kept < tail.length; kept += 1) {
    writeFileSync(file, Buffer.concat([whole, tail.subarray(0, kept)]));
    const {storage, stored} = await open(folder);
    expect(stored.entries.length).toEqual(2);
    expect(stored.truncatedBytes).toEqual(kept);
    await storage.close();
    expect(readFileSync(file).length).toEqual(whole.length);
  }
});

test('damage before the last write is refused at its place', async () => {
  const folder = await written();
  const file = join(folder, 'log-0');
  const whole = readFileSync(file);
  const last = encodeFrame({hardState: undefined, entries: [entry(2)]}).length;
  for (let at = 0; at < whole.length - last; at += 1) {
    const damaged = Buffer.from(whole);
    damaged[at]! ^= 0x41;
    writeFileSync(file, damaged);
    const opened = await openFileStorage(folder);
    expect(opened._unsafeUnwrapErr().kind).toEqual('damaged');
    expect(readFileSync(file).equals(damaged)).toEqual(true);
  }
});

test('a snapshot replaces the log before it', async () => {
  const folder = await written();
  const {storage} = await open(folder);
  await storage.replaceWithSnapshot(SNAPSHOT, {term: 2, votedFor: null}, [
    entry(4),
  ]);
  await storage.append({hardState: undefined, entries: [entry(5)]});
  await storage.close();
  const {stored} = await open(folder);
  expect(stored.snapshot?.index).toEqual(3);
  expect([...stored.snapshot!.data]).toEqual([1, 2, 3]);
  expect(stored.entries.map(item => item.index)).toEqual([4, 5]);
  expect(readdirSync(folder).sort()).toEqual(['log-3', 'snapshot-3']);
});

test('a crash between the steps of a snapshot keeps the old pair', async () => {
  const folder = await written();
  writeFileSync(join(folder, 'snapshot-3.tmp'), 'half');
  writeFileSync(join(folder, 'snapshot-3'), encodeFrame(SNAPSHOT));
  writeFileSync(join(folder, 'log-3.tmp'), 'half');
  const {stored} = await open(folder);
  expect(stored.entries.length).toEqual(2);
  expect(readdirSync(folder)).toEqual(['log-0']);
});

test('a damaged snapshot is refused', async () => {
  const folder = await written();
  const {storage} = await open(folder);
  await storage.replaceWithSnapshot(SNAPSHOT, {term: 2, votedFor: null}, []);
  await storage.close();
  truncateSync(join(folder, 'snapshot-3'), 20);
  expect((await openFileStorage(folder))._unsafeUnwrapErr().kind).toEqual(
    'damaged',
  );
});

test('after a failed write every later one fails', async () => {
  const {storage} = await open(newFolder());
  await storage.close();
  const write = () =>
    storage.append({hardState: undefined, entries: [entry(1)]});
  await expect(write()).toBeRejected();
  await expect(write()).toBeRejected();
});

test('a folder is held by one process, and a lock left by a crash is taken over', () => {
  const folder = newFolder();
  const first = lockFolder(folder)._unsafeUnwrap();
  expect(lockFolder(folder)._unsafeUnwrapErr().kind).toEqual('locked');
  first.release();
  writeFileSync(join(folder, 'lock'), '999999 1 another-boot');
  expect(lockFolder(folder).isOk()).toEqual(true);
});

test('an empty folder gets a new identity, and a foreign one is refused', () => {
  const folder = newFolder();
  const made = openIdentity(folder, 'a', 'tembusu')._unsafeUnwrap();
  expect(openIdentity(folder, 'a', 'tembusu')._unsafeUnwrap()).toEqual(made);
  expect(openIdentity(folder, 'b', 'tembusu')._unsafeUnwrapErr().kind).toEqual(
    'foreign',
  );
  expect(openIdentity(folder, 'a', 'other')._unsafeUnwrapErr().kind).toEqual(
    'foreign',
  );
  const other = openIdentity(newFolder(), 'a', 'tembusu')._unsafeUnwrap();
  expect(other.replica === made.replica).toEqual(false);
});

test('no bytes make the readers throw or invent entries', async () => {
  const good = Buffer.concat(
    [1, 2, 3].map(index =>
      encodeFrame({hardState: undefined, entries: [entry(index)]}),
    ),
  );
  const mutated = fc
    .tuple(
      fc.array(fc.tuple(fc.nat(good.length - 1), fc.nat(255)), {maxLength: 6}),
      fc.nat(good.length),
    )
    .map(([changes, length]) => {
      const bytes = Buffer.from(good);
      for (const [at, value] of changes) bytes[at] = value;
      return bytes.subarray(0, length);
    });
  fc.assert(
    fc.property(
      fc.oneof(mutated, fc.uint8Array({maxLength: 300}).map(Buffer.from)),
      bytes => {
        const frames = decodeFrames(bytes);
        if (frames.isErr()) return;
        for (const value of frames.value.values) {
          const batch = parseLogBatch(value);
          for (const item of batch?.entries ?? []) {
            expect(JSON.stringify(item)).toEqual(
              JSON.stringify(entry(item.index)),
            );
          }
          parseSnapshot(value);
        }
      },
    ),
    {seed: 3, numRuns: 3_000},
  );
});

test('garbage after the log is cut, garbage as the log is refused', async () => {
  const folder = await written();
  appendFileSync(join(folder, 'log-0'), 'garbage that is no frame');
  const {stored, storage} = await open(folder);
  expect(stored.entries.length).toEqual(2);
  await storage.close();
  writeFileSync(join(folder, 'log-0'), 'garbage');
  expect((await openFileStorage(folder))._unsafeUnwrapErr().kind).toEqual(
    'damaged',
  );
});

/** Log and snapshot files: incomplete writes, damage, restarts, locks. */
import {expect} from 'earl';
import fc from 'fast-check';
import {after, test} from 'node:test';
import {spawn, type ChildProcess} from 'node:child_process';
import {
  appendFileSync,
  existsSync,
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
let folderCount = 0;

after(() => rmSync(root, {recursive: true, force: true}));

function newFolder(): string {
  folderCount += 1;
  const folder = join(root, `${folderCount}`);
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

/** Creates a folder with two synced writes of one log entry each. */
async function createTwoEntryLog(): Promise<string> {
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

test('a restart restores the synced data', async () => {
  const {stored} = await open(await createTwoEntryLog());
  expect(stored.entries.map(item => item.index)).toEqual([1, 2]);
  expect(stored.hardState).toEqual({term: 1, votedFor: replicaId('a/1')});
});

test('a later write replaces the log from its first index on', async () => {
  const folder = await createTwoEntryLog();
  const {storage} = await open(folder);
  await storage.append({
    hardState: undefined,
    entries: [entry(2, 5), entry(3, 5)],
  });
  await storage.close();
  const {stored} = await open(folder);
  expect(stored.entries.map(item => item.term)).toEqual([1, 5, 5]);
});

test('a last write that is incomplete at any byte is truncated, and the rest is kept', async () => {
  const folder = await createTwoEntryLog();
  const file = join(folder, 'log-0');
  const intact = readFileSync(file);
  const thirdFrame = encodeFrame({hardState: undefined, entries: [entry(3)]});
  for (let keptBytes = 1; keptBytes < thirdFrame.length; keptBytes += 1) {
    writeFileSync(
      file,
      Buffer.concat([intact, thirdFrame.subarray(0, keptBytes)]),
    );
    const {storage, stored} = await open(folder);
    expect(stored.entries.length).toEqual(2);
    expect(stored.truncatedBytes).toEqual(keptBytes);
    await storage.close();
    expect(readFileSync(file).length).toEqual(intact.length);
  }
});

test('refuses a log with damage at any byte before the last write', async () => {
  const folder = await createTwoEntryLog();
  const file = join(folder, 'log-0');
  const intact = readFileSync(file);
  const lastFrameBytes = encodeFrame({
    hardState: undefined,
    entries: [entry(2)],
  }).length;
  for (
    let offsetBytes = 0;
    offsetBytes < intact.length - lastFrameBytes;
    offsetBytes += 1
  ) {
    const damaged = Buffer.from(intact);
    damaged[offsetBytes]! ^= 0x41;
    writeFileSync(file, damaged);
    const opened = await openFileStorage(folder);
    expect(opened._unsafeUnwrapErr().kind).toEqual('damaged');
    expect(readFileSync(file).equals(damaged)).toEqual(true);
  }
});

test('a snapshot replaces the log up to its index', async () => {
  const folder = await createTwoEntryLog();
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

test('a crash while a snapshot is written keeps the old pair of files', async () => {
  const folder = await createTwoEntryLog();
  writeFileSync(join(folder, 'snapshot-3.tmp'), 'half');
  writeFileSync(join(folder, 'snapshot-3'), encodeFrame(SNAPSHOT));
  writeFileSync(join(folder, 'log-3.tmp'), 'half');
  const {stored} = await open(folder);
  expect(stored.entries.length).toEqual(2);
  expect(readdirSync(folder)).toEqual(['log-0']);
});

test('refuses a damaged snapshot', async () => {
  const folder = await createTwoEntryLog();
  const {storage} = await open(folder);
  await storage.replaceWithSnapshot(SNAPSHOT, {term: 2, votedFor: null}, []);
  await storage.close();
  truncateSync(join(folder, 'snapshot-3'), 20);
  expect((await openFileStorage(folder))._unsafeUnwrapErr().kind).toEqual(
    'damaged',
  );
});

test('after a failed write every later write fails', async () => {
  const {storage} = await open(newFolder());
  await storage.close();
  const write = () =>
    storage.append({hardState: undefined, entries: [entry(1)]});
  await expect(write()).toBeRejected();
  await expect(write()).toBeRejected();
});

test('one process locks a folder, and a stale lock is taken over', () => {
  const folder = newFolder();
  const first = lockFolder(folder)._unsafeUnwrap();
  expect(lockFolder(folder)._unsafeUnwrapErr().kind).toEqual('locked');
  first.release();
  writeFileSync(join(folder, 'lock'), '999999 1 another-boot');
  expect(lockFolder(folder).isOk()).toEqual(true);
});

/** Starts a process that tries to lock the folder once `go` exists. */
function startLocker(folder: string, go: string): Promise<string> {
  const module = new URL('./index.js', import.meta.url).href;
  const script = `
    import {existsSync} from 'node:fs';
    const {lockFolder} = await import(${JSON.stringify(module)});
    while (!existsSync(${JSON.stringify(go)}));
    const lock = lockFolder(${JSON.stringify(folder)});
    process.stdout.write(lock.isOk() ? 'held' : lock.error.kind);
    process.stdin.resume();
    process.stdin.on('end', () => process.exit(0));
  `;
  const child = spawn(process.execPath, ['--input-type=module', '-e', script], {
    stdio: ['pipe', 'pipe', 'inherit'],
  });
  children.push(child);
  return new Promise(resolve => {
    child.stdout!.once('data', (data: Buffer) => resolve(String(data)));
  });
}

const children: ChildProcess[] = [];

test('one of many processes that find a stale lock holds the folder', async () => {
  const LOCKERS = 6;
  const ROUNDS = 5;
  for (let round = 0; round < ROUNDS; round += 1) {
    const folder = newFolder();
    const go = join(newFolder(), 'go');
    writeFileSync(join(folder, 'lock'), '999999 1 another-boot');
    const lockers = Array.from({length: LOCKERS}, () =>
      startLocker(folder, go),
    );
    setTimeout(() => writeFileSync(go, ''), 600);
    const outcomes = await Promise.all(lockers);
    expect(outcomes.filter(outcome => outcome === 'held').length).toEqual(1);
    for (const child of children.splice(0)) child.stdin!.end();
  }
});

test('a released lock is not taken by a process that read an older one', () => {
  const folder = newFolder();
  writeFileSync(join(folder, 'lock'), '999999 1 another-boot');
  lockFolder(folder)._unsafeUnwrap().release();
  const second = lockFolder(folder)._unsafeUnwrap();
  expect(existsSync(join(folder, 'lock.2'))).toEqual(true);
  expect(lockFolder(folder).isErr()).toEqual(true);
  second.release();
});

test('an empty folder gets a new identity, and a foreign identity is refused', () => {
  const folder = newFolder();
  const created = openIdentity(folder, 'a', 'tembusu')._unsafeUnwrap();
  expect(openIdentity(folder, 'a', 'tembusu')._unsafeUnwrap()).toEqual(created);
  expect(openIdentity(folder, 'b', 'tembusu')._unsafeUnwrapErr().kind).toEqual(
    'foreign',
  );
  expect(openIdentity(folder, 'a', 'other')._unsafeUnwrapErr().kind).toEqual(
    'foreign',
  );
  const other = openIdentity(newFolder(), 'a', 'tembusu')._unsafeUnwrap();
  expect(other.replica === created.replica).toEqual(false);
});

test('damaged or random bytes never make the parsers throw or return altered entries', async () => {
  const validLog = Buffer.concat(
    [1, 2, 3].map(index =>
      encodeFrame({hardState: undefined, entries: [entry(index)]}),
    ),
  );
  const mutatedLog = fc
    .tuple(
      fc.array(fc.tuple(fc.nat(validLog.length - 1), fc.nat(255)), {
        maxLength: 6,
      }),
      fc.nat(validLog.length),
    )
    .map(([changes, length]) => {
      const bytes = Buffer.from(validLog);
      for (const [at, value] of changes) bytes[at] = value;
      return bytes.subarray(0, length);
    });
  fc.assert(
    fc.property(
      fc.oneof(mutatedLog, fc.uint8Array({maxLength: 300}).map(Buffer.from)),
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

test('truncates garbage after the log, and refuses a log of garbage', async () => {
  const folder = await createTwoEntryLog();
  appendFileSync(join(folder, 'log-0'), 'garbage that is no frame');
  const {stored, storage} = await open(folder);
  expect(stored.entries.length).toEqual(2);
  await storage.close();
  writeFileSync(join(folder, 'log-0'), 'garbage');
  expect((await openFileStorage(folder))._unsafeUnwrapErr().kind).toEqual(
    'damaged',
  );
});

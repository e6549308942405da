/** The node that runs a replica: group commit, disk failures, snapshots. */
import {expect} from 'earl';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {replicaId, type RaftConfig} from '../raft/index.js';
import type {LogBatch, ReplicaStorage, StoredState} from '../storage/index.js';
import {ReplicaNode} from './index.js';

const CONFIG: RaftConfig = {
  id: replicaId('a/1'),
  heartbeatMs: 10,
  electionTimeoutMinMs: 20,
  electionTimeoutMaxMs: 40,
  clockDriftMs: 1,
  maxEntriesPerMessage: 100,
  maxBytesPerMessage: 100_000,
  maxMessagesInFlight: 4,
  maxBytesInFlight: 2_097_152,
  snapshotChunkBytes: 1_000,
  randomBelow: () => 0,
};
const EMPTY_STATE: StoredState = {
  hardState: {term: 0, votedFor: null},
  snapshot: undefined,
  entries: [],
  truncatedBytes: 0,
};

/** In-memory storage with slow writes that can be made to fail. */
class FakeStorage implements ReplicaStorage {
  readonly batches: LogBatch[] = [];
  snapshots = 0;
  failsWrites = false;

  async append(batch: LogBatch): Promise<void> {
    await delay(2);
    if (this.failsWrites) throw new Error('no space left on device');
    this.batches.push(batch);
  }

  replaceWithSnapshot(): Promise<void> {
    this.snapshots += 1;
    return Promise.resolve();
  }

  close(): Promise<void> {
    return Promise.resolve();
  }
}

async function startSingleVoter(
  snapshotEveryEntries = 1_000_000,
  snapshotEveryBytes = 1_000_000_000,
) {
  const storage = new FakeStorage();
  const applied: string[] = [];
  const failures: string[] = [];
  const startedAtMs = performance.now();
  const node = new ReplicaNode<number>({
    config: CONFIG,
    storage,
    stored: EMPTY_STATE,
    stateMachine: {
      apply: command => applied.push(command),
      snapshot: () => Buffer.from(JSON.stringify(applied)),
      restore: () => undefined,
    },
    send: () => undefined,
    nowMs: () => performance.now() - startedAtMs,
    onFailure: error => failures.push(error.message),
    snapshotEveryEntries,
    snapshotEveryBytes,
  });
  const self = {
    id: CONFIG.id,
    instance: 'a',
    address: '127.0.0.1',
    port: 1,
    role: 'voter' as const,
  };
  await node.bootstrap({replicas: [self]});
  while (!node.holdsLease()) {
    node.tick();
    await delay(5);
  }
  return {node, storage, applied, failures};
}

test('commands that arrive while the disk syncs share the next sync', async () => {
  const {node, storage, applied} = await startSingleVoter();
  const batchesBefore = storage.batches.length;
  const results = await Promise.all(
    Array.from({length: 200}, (_, index) => node.submit(`c${index}`)),
  );
  expect(results.every(result => result.isOk())).toEqual(true);
  expect(applied).toEqual(Array.from({length: 200}, (_, index) => `c${index}`));
  expect(storage.batches.length - batchesBefore < 10).toEqual(true);
  await node.stop('test');
});

test('a failed sync stops the replica: it refuses commands and loses leadership', async () => {
  const {node, storage, applied, failures} = await startSingleVoter();
  storage.failsWrites = true;
  const result = await node.submit('lost');
  expect(result._unsafeUnwrapErr().kind).toEqual('outcome_unknown');
  expect([node.isLeader, node.holdsLease()]).toEqual([false, false]);
  expect(failures).toEqual(['no space left on device']);
  storage.failsWrites = false;
  expect((await node.submit('later'))._unsafeUnwrapErr().kind).toEqual(
    'stopped',
  );
  expect(applied).toEqual([]);
});

test('takes a snapshot after the configured number of log entries', async () => {
  const {node, storage} = await startSingleVoter(10);
  for (let index = 0; index < 25; index += 1) await node.submit(`c${index}`);
  expect(storage.snapshots).toEqual(2);
  await node.stop('test');
});

// Guards against a log that large commands grow without a bound.
test('takes a snapshot after the configured bytes of log entries', async () => {
  const {node, storage} = await startSingleVoter(1_000_000, 10_000);
  for (let i = 0; i < 25; i += 1) await node.submit('x'.repeat(1_000));
  expect(storage.snapshots).toEqual(2);
  const kept = node.raft.log.entries.length;
  expect(kept < 10).toEqual(true);
  await node.stop('test');
});

test('calls settle when the node stops before it processes them', async () => {
  const {node, storage} = await startSingleVoter();
  storage.failsWrites = true;
  const lost = node.submit('lost');
  await Promise.resolve();
  await delay(0);
  const change = node.changeMembership({kind: 'remove', id: CONFIG.id});
  const transfer = node.transferLeadership();
  const formed = node.bootstrap({replicas: []});
  expect((await lost).isErr()).toEqual(true);
  expect((await change)._unsafeUnwrapErr().kind).toEqual('stopped');
  expect(await transfer).toEqual(undefined);
  expect((await formed)._unsafeUnwrapErr().kind).toEqual('stopped');
  const later = await node.changeMembership({kind: 'remove', id: CONFIG.id});
  expect(later._unsafeUnwrapErr().kind).toEqual('stopped');
});

/** The account grants what is free, is fair between clients, and fails safe. */
import {expect} from 'earl';
import {test} from 'node:test';
import {accountLimitsOf} from './machine-limits.js';
import {
  MAX_WAIT_MS,
  ResourceAccount,
  STALLED_AFTER_MS,
} from './resource-account.js';
import {CONNECTION_BYTES} from './types.js';

const MB = 1_048_576;
const LIMITS = {maxBytes: 64 * MB, maxConnections: 40};
/** The largest body of the usual limits, with its copy. */
const LARGEST = 8 * MB;

function open(account: ResourceAccount, address = 'a', nowMs = 0) {
  return account.open(address, nowMs)!;
}

/** Opens clients of one address; each reserves a large body if it can. */
function flood(account: ResourceAccount, address: string, clients: number) {
  const holders = Array.from({length: clients}, () => open(account, address));
  const granted = holders.filter(item => item.tryGrow('bodies', LARGEST));
  return {holders, grantedBytes: granted.length * LARGEST};
}

// Guards against memory that is never released, or released twice.
test('what a holder releases or closes is free exactly once', () => {
  const account = new ResourceAccount(LIMITS);
  const holder = open(account);
  expect(holder.tryGrow('bodies', LARGEST)).toEqual(true);
  holder.set('responses', MB);
  holder.set('bodies', 0);
  expect(account.totalBytes).toEqual(CONNECTION_BYTES + MB);
  holder.close();
  holder.close();
  holder.set('bodies', MB);
  expect(holder.tryGrow('bodies', 1)).toEqual(false);
  expect(account.totalBytes).toEqual(0);
  expect(account.connectionCount).toEqual(0);
  expect(account.bytesOf('responses')).toEqual(0);
});

// Guards against an entry that ends because a connection closed before its response.
test('a connection that closed leaves its groups only once', () => {
  const account = new ResourceAccount(LIMITS);
  const holder = open(account);
  holder.join('key k');
  const other = open(account);
  other.join('key k');
  holder.close();
  holder.leaveGroups();
  other.close();
  other.leaveGroups();
  expect(account.connectionCount).toEqual(0);
});

test('one address cannot take what another needs', () => {
  const account = new ResourceAccount(LIMITS);
  const {grantedBytes} = flood(account, 'crowd', 25);
  expect(grantedBytes).toBeLessThanOrEqual(32 * MB);
  expect(open(account, 'ordinary').tryGrow('bodies', LARGEST)).toEqual(true);
});

test('one key cannot take what another needs, from many addresses', () => {
  const account = new ResourceAccount(LIMITS);
  for (let i = 0; i < 25; i += 1) {
    const holder = open(account, `a${i}`);
    holder.join('key k');
    holder.tryGrow('bodies', LARGEST);
  }
  expect(account.bytesOf('bodies')).toBeLessThanOrEqual(32 * MB);
  expect(open(account, 'ordinary').tryGrow('bodies', LARGEST)).toEqual(true);
});

test('small requests of a crowd address itself still get memory', () => {
  const account = new ResourceAccount(LIMITS);
  flood(account, 'crowd', 25);
  for (let i = 0; i < 5; i += 1)
    expect(open(account, 'crowd').tryGrow('bodies', 32_768)).toEqual(true);
});

test('a holder that waits is granted what others release, or is refused', () => {
  const account = new ResourceAccount(LIMITS);
  const {holders} = flood(account, 'crowd', 25);
  const ended: boolean[] = [];
  const wait = (position: number) =>
    account.reserve(holders[position]!, 'bodies', LARGEST, 0, isGranted =>
      ended.push(isGranted),
    );
  wait(23);
  wait(24);
  holders[0]!.close();
  account.sweep(1);
  expect(ended).toEqual([true]);
  account.sweep(MAX_WAIT_MS);
  account.sweep(2 * MAX_WAIT_MS);
  expect(ended).toEqual([true, false]);
  expect(account.waitingCount).toEqual(0);
});

test('under pressure those go that hold most for longest, none that runs', () => {
  const account = new ResourceAccount(LIMITS);
  const evicted: string[] = [];
  const add = (name: string, bytes: number, progressMs: number) => {
    const holder = open(account, name, progressMs);
    holder.set('bodies', bytes);
    holder.onEvict = () => {
      evicted.push(name);
      holder.close();
    };
    return holder;
  };
  add('small', 2 * MB, 0);
  add('large', 20 * MB, 0);
  add('active', 14 * MB, STALLED_AFTER_MS);
  add('running', 14 * MB, 0).isEvictable = () => false;
  account.sweep(STALLED_AFTER_MS);
  expect(evicted).toEqual(['large']);
  account.sweep(STALLED_AFTER_MS);
  expect(evicted).toEqual(['large']);
});

test('without pressure nobody is evicted, however long it is idle', () => {
  const account = new ResourceAccount(LIMITS);
  const holder = open(account);
  holder.set('bodies', 30 * MB);
  holder.onEvict = () => holder.close();
  account.sweep(1e9);
  expect(holder.isClosed).toEqual(false);
});

// Guards against idle callers that find their connection closed.
test('under pressure an idle connection stays open', () => {
  const account = new ResourceAccount(LIMITS);
  const idle = open(account, 'idle');
  idle.onEvict = () => idle.close();
  open(account, 'running').set('bodies', 60 * MB);
  account.sweep(STALLED_AFTER_MS);
  expect(idle.isClosed).toEqual(false);
});

test('an address with many connections leaves some to the others', () => {
  const account = new ResourceAccount(LIMITS);
  const opened = Array.from({length: 50}, () => account.open('crowd', 0));
  expect(opened.filter(holder => holder !== undefined).length).toEqual(30);
  expect(account.open('ordinary', 0) === undefined).toEqual(false);
});

test('a full process closes an idle connection for a new one', () => {
  const account = new ResourceAccount(LIMITS);
  const holders = Array.from({length: 40}, (_, i) => open(account, `a${i}`));
  for (const holder of holders) holder.onEvict = () => holder.close();
  expect(account.open('b', STALLED_AFTER_MS)).toEqual(undefined);
  expect(account.evictConnection(STALLED_AFTER_MS - 1)).toEqual(false);
  expect(account.evictConnection(STALLED_AFTER_MS)).toEqual(true);
  expect(account.open('b', STALLED_AFTER_MS) === undefined).toEqual(false);
});

test('shortage is told once when it begins and once when it ends', () => {
  const told: string[] = [];
  const account = new ResourceAccount(LIMITS, {
    onPressure: (resource, isShort) => told.push(`${resource} ${isShort}`),
  });
  const holder = open(account);
  for (const megabytes of [47, 49, 47, 50, 41, 39, 47]) {
    holder.set('bodies', megabytes * MB);
  }
  expect(told).toEqual(['memory true', 'memory false']);
});

// Guards against default limits that an ordinary client can exceed.
test('no client inside the limits meets the default of a small machine', () => {
  const limits = accountLimitsOf({
    memoryBytes: 178 * MB,
    maxDescriptors: 2_212,
  });
  const account = new ResourceAccount(limits);
  const clients = Array.from({length: 300}, (_, i) => open(account, `a${i}`));
  for (const client of clients) {
    client.set('heads', 8 * 1_024);
    expect(client.tryGrow('bodies', 32_768)).toEqual(true);
    client.progress(1e6);
  }
  const largest = open(account, 'largest');
  largest.set('heads', 8 * 16_384);
  expect(largest.tryGrow('bodies', LARGEST)).toEqual(true);
  // Idle for four fifths of the usual idle timeout.
  account.sweep(1e6 + 12_000);
  expect(account.connectionCount).toEqual(301);
});

test('connections of callers and of targets fit into the descriptors', () => {
  for (const maxDescriptors of [700, 2_212, 10_250]) {
    const {maxConnections} = accountLimitsOf({memoryBytes: 0, maxDescriptors});
    expect(2 * maxConnections + 200).toBeLessThan(maxDescriptors);
  }
});

// Guards against a configuration that a small machine could never take.
test('a single request may take most of the smallest account', () => {
  const limits = accountLimitsOf({memoryBytes: 0, maxDescriptors: 1_024});
  const account = new ResourceAccount(limits);
  const holder = open(account);
  // A body of 4 MiB with its copy, then its text and decoded values.
  expect(holder.tryGrow('bodies', LARGEST)).toEqual(true);
  expect(holder.tryGrow('bodies', 12 * MB)).toEqual(true);
});

// Guards against idle connections that leave no memory for requests.
test('all connections together hold at most half of the memory', () => {
  for (const megabytes of [64, 178, 310]) {
    const memoryBytes = megabytes * MB;
    const limits = accountLimitsOf({memoryBytes, maxDescriptors: 1e6});
    const heldBytes = limits.maxConnections * CONNECTION_BYTES;
    expect(heldBytes).toBeLessThanOrEqual(limits.maxBytes / 2);
  }
});

/** Validates the contents of the frames in log and snapshot files. */
import type {HardState, LogEntry, Membership, Snapshot} from '../raft/index.js';
import type {LogBatch} from './types.js';

type PlainObject = Readonly<Record<string, unknown>>;

const isPlainObject = (value: unknown): value is PlainObject =>
  typeof value === 'object' && value !== null && !Array.isArray(value);
const isNonNegativeInteger = (value: unknown): value is number =>
  Number.isSafeInteger(value) && (value as number) >= 0;

function isMembership(value: unknown): value is Membership {
  if (!isPlainObject(value) || !Array.isArray(value['replicas'])) return false;
  return value['replicas'].every(
    replica =>
      isPlainObject(replica) &&
      typeof replica['id'] === 'string' &&
      typeof replica['instance'] === 'string' &&
      typeof replica['address'] === 'string' &&
      isNonNegativeInteger(replica['port']) &&
      (replica['role'] === 'voter' || replica['role'] === 'learner'),
  );
}

export function isLogEntry(value: unknown): value is LogEntry {
  if (!isPlainObject(value)) return false;
  if (
    !isNonNegativeInteger(value['index']) ||
    !isNonNegativeInteger(value['term'])
  )
    return false;
  switch (value['kind']) {
    case 'noop':
      return true;
    case 'command':
      return typeof value['data'] === 'string';
    case 'membership':
      return isMembership(value['membership']);
    default:
      return false;
  }
}

function isHardState(value: unknown): value is HardState {
  if (!isPlainObject(value) || !isNonNegativeInteger(value['term']))
    return false;
  return value['votedFor'] === null || typeof value['votedFor'] === 'string';
}

/** Returns undefined if the value is not a log batch. */
export function parseLogBatch(value: unknown): LogBatch | undefined {
  if (!isPlainObject(value) || !Array.isArray(value['entries']))
    return undefined;
  const {entries, hardState} = value;
  if (!entries.every(isLogEntry)) return undefined;
  const isMissing = hardState === undefined || hardState === null;
  if (!isMissing && !isHardState(hardState)) return undefined;
  return {entries, hardState: isMissing ? undefined : hardState};
}

/** Returns undefined if the value is not a snapshot. */
export function parseSnapshot(value: unknown): Snapshot | undefined {
  if (!isPlainObject(value)) return undefined;
  const {index, term, membership, data} = value;
  if (!isNonNegativeInteger(index) || !isNonNegativeInteger(term))
    return undefined;
  if (!isMembership(membership) || !(data instanceof Uint8Array)) {
    return undefined;
  }
  return {index, term, membership, data};
}

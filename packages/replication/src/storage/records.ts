/** Checks what the frames of log and snapshot files hold. */
import type {HardState, LogEntry, Membership, Snapshot} from '../raft/index.js';
import type {LogBatch} from './types.js';

type Fields = Readonly<Record<string, unknown>>;

const isFields = (value: unknown): value is Fields =>
  typeof value === 'object' && value !== null && !Array.isArray(value);
const isCount = (value: unknown): value is number =>
  Number.isSafeInteger(value) && (value as number) >= 0;

function isMembership(value: unknown): value is Membership {
  if (!isFields(value) || !Array.isArray(value['replicas'])) return false;
  return value['replicas'].every(
    replica =>
      isFields(replica) &&
      typeof replica['id'] === 'string' &&
      typeof replica['instance'] === 'string' &&
      typeof replica['address'] === 'string' &&
      isCount(replica['port']) &&
      (replica['role'] === 'voter' || replica['role'] === 'learner'),
  );
}

export function isLogEntry(value: unknown): value is LogEntry {
  if (!isFields(value)) return false;
  if (!isCount(value['index']) || !isCount(value['term'])) return false;
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
  if (!isFields(value) || !isCount(value['term'])) return false;
  return value['votedFor'] === null || typeof value['votedFor'] === 'string';
}

/** Returns undefined when the value is no log batch. */
export function parseLogBatch(value: unknown): LogBatch | undefined {
  if (!isFields(value) || !Array.isArray(value['entries'])) return undefined;
  const {entries, hardState} = value;
  if (!entries.every(isLogEntry)) return undefined;
  const isMissing = hardState === undefined || hardState === null;
  if (!isMissing && !isHardState(hardState)) return undefined;
  return {entries, hardState: isMissing ? undefined : hardState};
}

/** Returns undefined when the value is no snapshot. */
export function parseSnapshot(value: unknown): Snapshot | undefined {
  if (!isFields(value)) return undefined;
  const {index, term, membership, data} = value;
  if (!isCount(index) || !isCount(term)) return undefined;
  if (!isMembership(membership) || !(data instanceof Uint8Array)) {
    return undefined;
  }
  return {index, term, membership, data};
}

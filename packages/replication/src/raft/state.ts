/** The state of one replica, and operations on it that all modules share. */
import {lastIndex, snapshotIndex, type RaftLog} from './log.js';
import {EMPTY_MEMBERSHIP, isVoter} from './membership.js';
import type {
  Envelope,
  HardState,
  LogEntry,
  Membership,
  RaftConfig,
  RaftEffects,
  RaftMessage,
  ReplicaId,
  Snapshot,
} from './types.js';

export type RaftRole = 'follower' | 'pre_candidate' | 'candidate' | 'leader';

/** The leader's replication state for one other replica. */
export interface Progress {
  mode: 'probe' | 'replicate' | 'snapshot';
  matchIndex: number;
  nextIndex: number;
  messagesInFlight: number;
  bytesInFlight: number;
  /** The latest send time of this leader that the replica has echoed. */
  ackedSentAtMs: number;
  /** When the replica last responded; initially when its progress was created. */
  lastContactAtMs: number;
  snapshotOffsetBytes: number;
  snapshotSentAtMs: number;
  probeSentAtMs: number;
}

interface MembershipRecord {
  readonly index: number;
  readonly membership: Membership;
}

interface IncomingSnapshot {
  readonly from: ReplicaId;
  readonly index: number;
  readonly term: number;
  chunks: Uint8Array[];
  receivedBytes: number;
}

export interface RaftState {
  readonly config: RaftConfig;
  role: RaftRole;
  term: number;
  votedFor: ReplicaId | null;
  log: RaftLog;
  commitIndex: number;
  appliedIndex: number;
  /** The last log index that is synced to this replica's own disk. */
  persistedIndex: number;
  /** Oldest first. The first one is committed or comes from the snapshot. */
  memberships: MembershipRecord[];
  leader: ReplicaId | undefined;
  leaderContactAtMs: number;
  electionDeadlineMs: number;
  votes: Map<ReplicaId, boolean>;
  isTransferElection: boolean;
  progress: Map<ReplicaId, Progress>;
  heartbeatDueMs: number;
  becameLeaderAtMs: number;
  /** Index of the no-op log entry with which this leader began its term. */
  termStartIndex: number;
  transferTo: ReplicaId | undefined;
  transferDeadlineMs: number;
  incomingSnapshot: IncomingSnapshot | undefined;
  pending: PendingEffects;
}

interface PendingEffects {
  sendNow: Envelope[];
  sendAfterPersist: Envelope[];
  isHardStateDirty: boolean;
  entries: LogEntry[];
  snapshot: Snapshot | undefined;
  restore: Snapshot | undefined;
}

/** The state that a starting replica reads from its disk. */
export interface PersistentState {
  readonly hardState: HardState;
  readonly snapshot: Snapshot | undefined;
  readonly entries: readonly LogEntry[];
}

function emptyEffects(): PendingEffects {
  return {
    sendNow: [],
    sendAfterPersist: [],
    isHardStateDirty: false,
    entries: [],
    snapshot: undefined,
    restore: undefined,
  };
}

export function createRaft(
  config: RaftConfig,
  stored: PersistentState,
  nowMs: number,
): RaftState {
  const log: RaftLog = {
    snapshot: stored.snapshot,
    entries: [...stored.entries],
  };
  const state: RaftState = {
    config,
    role: 'follower',
    term: stored.hardState.term,
    votedFor: stored.hardState.votedFor,
    log,
    commitIndex: snapshotIndex(log),
    appliedIndex: snapshotIndex(log),
    persistedIndex: lastIndex(log),
    memberships: [],
    leader: undefined,
    // A vote right after a restart could break a lease that this replica
    // renewed before the restart.
    leaderContactAtMs: nowMs,
    electionDeadlineMs: 0,
    votes: new Map(),
    isTransferElection: false,
    progress: new Map(),
    heartbeatDueMs: 0,
    becameLeaderAtMs: 0,
    termStartIndex: 0,
    transferTo: undefined,
    transferDeadlineMs: 0,
    incomingSnapshot: undefined,
    pending: emptyEffects(),
  };
  rebuildMemberships(state);
  resetElectionDeadline(state, nowMs);
  return state;
}

/** Recomputes the memberships after the log is loaded, truncated or replaced. */
export function rebuildMemberships(state: RaftState): void {
  const {log} = state;
  state.memberships = [
    {
      index: snapshotIndex(log),
      membership: log.snapshot?.membership ?? EMPTY_MEMBERSHIP,
    },
  ];
  for (const entry of log.entries) recordMembership(state, entry);
}

export function recordMembership(state: RaftState, entry: LogEntry): void {
  if (entry.kind !== 'membership') return;
  state.memberships.push({index: entry.index, membership: entry.membership});
}

/** Returns the active membership: the latest in the log, committed or not. */
export function currentMembership(state: RaftState): Membership {
  return state.memberships.at(-1)?.membership ?? EMPTY_MEMBERSHIP;
}

export function membershipAt(state: RaftState, index: number): Membership {
  const record = state.memberships.findLast(item => item.index <= index);
  return record?.membership ?? EMPTY_MEMBERSHIP;
}

export function isChangePending(state: RaftState): boolean {
  return (state.memberships.at(-1)?.index ?? 0) > state.commitIndex;
}

export function isSelfVoter(state: RaftState): boolean {
  return isVoter(currentMembership(state), state.config.id);
}

/**
 * Returns whether this replica may start an election. That includes a replica
 * whose removal is in its log but may not be committed: its log may be the
 * only one that can win.
 */
export function mayStartElection(state: RaftState): boolean {
  const {id} = state.config;
  if (isSelfVoter(state)) return true;
  const committed = membershipAt(state, state.commitIndex);
  const uncommitted = state.memberships.filter(
    record => record.index > state.commitIndex,
  );
  return [committed, ...uncommitted.map(record => record.membership)].some(
    membership => isVoter(membership, id),
  );
}

export function resetElectionDeadline(state: RaftState, nowMs: number): void {
  const {electionTimeoutMinMs, electionTimeoutMaxMs, randomBelow} =
    state.config;
  const spreadMs = electionTimeoutMaxMs - electionTimeoutMinMs;
  state.electionDeadlineMs =
    nowMs + electionTimeoutMinMs + randomBelow(spreadMs + 1);
}

export function setTermAndVote(
  state: RaftState,
  term: number,
  votedFor: ReplicaId | null,
): void {
  state.term = term;
  state.votedFor = votedFor;
  state.pending.isHardStateDirty = true;
}

export function becomeFollower(
  state: RaftState,
  term: number,
  leader: ReplicaId | undefined,
): void {
  if (term > state.term) setTermAndVote(state, term, null);
  state.role = 'follower';
  state.leader = leader;
  state.progress.clear();
  state.votes.clear();
  state.transferTo = undefined;
}

/**
 * Records a follower's response. Returns undefined if the response is of
 * another term, or if this replica doesn't lead or doesn't track the sender.
 */
export function acceptResponse(
  state: RaftState,
  nowMs: number,
  from: ReplicaId,
  response: {readonly term: number; readonly sentAtMs: number},
): Progress | undefined {
  if (response.term > state.term) {
    becomeFollower(state, response.term, undefined);
    return undefined;
  }
  const progress = state.progress.get(from);
  const isCurrent = state.role === 'leader' && response.term === state.term;
  if (!isCurrent || progress === undefined) return undefined;
  progress.lastContactAtMs = nowMs;
  progress.ackedSentAtMs = Math.max(progress.ackedSentAtMs, response.sentAtMs);
  return progress;
}

export function sendNow(
  state: RaftState,
  to: ReplicaId,
  message: RaftMessage,
): void {
  state.pending.sendNow.push({from: state.config.id, to, message});
}

export function sendAfterPersist(
  state: RaftState,
  to: ReplicaId,
  message: RaftMessage,
): void {
  state.pending.sendAfterPersist.push({from: state.config.id, to, message});
}

/** Appends entries to the log in memory and schedules them for storage. */
export function appendToLog(
  state: RaftState,
  entries: readonly LogEntry[],
): void {
  for (const entry of entries) {
    state.log.entries.push(entry);
    state.pending.entries.push(entry);
    recordMembership(state, entry);
  }
}

/** Returns the effects of all steps since the last call, and clears them. */
export function takeEffects(state: RaftState): RaftEffects {
  const {pending} = state;
  state.pending = emptyEffects();
  const hasPersist =
    pending.isHardStateDirty ||
    pending.entries.length > 0 ||
    pending.snapshot !== undefined;
  const hardState = pending.isHardStateDirty
    ? {term: state.term, votedFor: state.votedFor}
    : undefined;
  const persist = hasPersist
    ? {hardState, entries: pending.entries, snapshot: pending.snapshot}
    : undefined;
  // A message of a term must not be sent before the term itself is stored:
  // otherwise a single voter would start the same term twice after a crash.
  const maySendBeforePersist = !pending.isHardStateDirty;
  return {
    sendNow: maySendBeforePersist ? pending.sendNow : [],
    persist,
    sendAfterPersist: maySendBeforePersist
      ? pending.sendAfterPersist
      : [...pending.sendNow, ...pending.sendAfterPersist],
    restore: pending.restore,
    apply: takeCommittedEntries(state),
  };
}

/** Returns whether there is nothing to store, send, restore or apply. */
export function hasNoEffects(effects: RaftEffects): boolean {
  return (
    effects.sendNow.length === 0 &&
    effects.persist === undefined &&
    effects.sendAfterPersist.length === 0 &&
    effects.restore === undefined &&
    effects.apply.length === 0
  );
}

function takeCommittedEntries(state: RaftState): LogEntry[] {
  const first = state.appliedIndex + 1;
  const base = snapshotIndex(state.log);
  const committed = state.log.entries.slice(
    first - base - 1,
    state.commitIndex - base,
  );
  state.appliedIndex = Math.max(state.appliedIndex, state.commitIndex);
  return committed;
}

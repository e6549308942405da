/** The state of one replica and the small moves that every module uses. */
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

/** What the leader knows of one other replica. */
export interface Progress {
  mode: 'probe' | 'replicate' | 'snapshot';
  matchIndex: number;
  nextIndex: number;
  messagesInFlight: number;
  /** The latest of our send times that it has echoed. */
  ackedSentAtMs: number;
  /** When anything last came from it. */
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
  /** Last index that is synced on this replica's own disk. */
  persistedIndex: number;
  /** Newest last; the first one is committed or comes from the snapshot. */
  memberships: MembershipRecord[];
  leader: ReplicaId | undefined;
  leaderContactAtMs: number;
  electionDeadlineMs: number;
  votes: Map<ReplicaId, boolean>;
  isTransferElection: boolean;
  progress: Map<ReplicaId, Progress>;
  heartbeatDueMs: number;
  becameLeaderAtMs: number;
  /** Index of the empty entry that opened this leader's term. */
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

/** What a replica finds on its disk when it starts. */
export interface PersistentState {
  readonly hardState: HardState;
  readonly snapshot: Snapshot | undefined;
  readonly entries: readonly LogEntry[];
}

function noEffects(): PendingEffects {
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
  restored: PersistentState,
  nowMs: number,
): RaftState {
  const log: RaftLog = {
    snapshot: restored.snapshot,
    entries: [...restored.entries],
  };
  const state: RaftState = {
    config,
    role: 'follower',
    term: restored.hardState.term,
    votedFor: restored.hardState.votedFor,
    log,
    commitIndex: snapshotIndex(log),
    appliedIndex: snapshotIndex(log),
    persistedIndex: lastIndex(log),
    memberships: [],
    leader: undefined,
    // A vote right after a restart could break a lease granted before it.
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
    pending: noEffects(),
  };
  rebuildMemberships(state);
  resetElectionDeadline(state, nowMs);
  return state;
}

/** Recomputes the memberships after the log was loaded, cut or replaced. */
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

/** The membership in force: the latest in the log, committed or not. */
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
 * Whether this replica may stand for election. One whose own removal may not
 * be committed has to: its log may be the only one that can win.
 */
export function mayStartElection(state: RaftState): boolean {
  const {id} = state.config;
  if (isSelfVoter(state)) return true;
  const settled = membershipAt(state, state.commitIndex);
  const open = state.memberships.filter(
    record => record.index > state.commitIndex,
  );
  return [settled, ...open.map(record => record.membership)].some(membership =>
    isVoter(membership, id),
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

/** Notes a follower's answer; undefined when it is of no use to this leader. */
export function acceptResponse(
  state: RaftState,
  nowMs: number,
  from: ReplicaId,
  answer: {readonly term: number; readonly sentAtMs: number},
): Progress | undefined {
  if (answer.term > state.term) {
    becomeFollower(state, answer.term, undefined);
    return undefined;
  }
  const progress = state.progress.get(from);
  const isCurrent = state.role === 'leader' && answer.term === state.term;
  if (!isCurrent || progress === undefined) return undefined;
  progress.lastContactAtMs = nowMs;
  progress.ackedSentAtMs = Math.max(progress.ackedSentAtMs, answer.sentAtMs);
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

/** Appends entries to the log in memory and asks for them to be stored. */
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

/** Takes what the steps since the last call asked for. */
export function takeEffects(state: RaftState): RaftEffects {
  const {pending} = state;
  state.pending = noEffects();
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
  // A message of a term must not leave before the term itself is stored: a lone
  // voter would open the same term twice after a crash.
  const mayGoFirst = !pending.isHardStateDirty;
  return {
    sendNow: mayGoFirst ? pending.sendNow : [],
    persist,
    sendAfterPersist: mayGoFirst
      ? pending.sendAfterPersist
      : [...pending.sendNow, ...pending.sendAfterPersist],
    restore: pending.restore,
    apply: takeCommitted(state),
  };
}

/** Whether nothing is left to carry out. */
export function hasNoEffects(effects: RaftEffects): boolean {
  return (
    effects.sendNow.length === 0 &&
    effects.persist === undefined &&
    effects.sendAfterPersist.length === 0 &&
    effects.restore === undefined &&
    effects.apply.length === 0
  );
}

function takeCommitted(state: RaftState): LogEntry[] {
  const first = state.appliedIndex + 1;
  const base = snapshotIndex(state.log);
  const committed = state.log.entries.slice(
    first - base - 1,
    state.commitIndex - base,
  );
  state.appliedIndex = Math.max(state.appliedIndex, state.commitIndex);
  return committed;
}

/** The step functions of the consensus core: messages, ticks and proposals. */
import {err, ok, type Result} from 'neverthrow';
import {
  checkQuorum,
  handleTimeoutNow,
  handleVoteRequest,
  handleVoteResponse,
  sendTimeoutNow,
  startPreVote,
} from './election.js';
import {lastIndex} from './log.js';
import {changeMembership, type MembershipChange} from './membership.js';
import {
  advanceCommit,
  broadcastAppends,
  broadcastHeartbeats,
  handleAppendRequest,
  handleAppendResponse,
  syncProgress,
} from './replication.js';
import {handleSnapshotRequest, handleSnapshotResponse} from './snapshot.js';
import {
  appendToLog,
  currentMembership,
  isChangePending,
  setTermAndVote,
  type RaftState,
} from './state.js';
import type {
  LogEntry,
  Membership,
  LogPosition,
  ProposeError,
  RaftMessage,
  ReplicaId,
} from './types.js';

/** Handles timers: elections, heartbeats, check-quorum, leadership transfer. */
export function stepTick(state: RaftState, nowMs: number): void {
  if (state.role !== 'leader') {
    if (nowMs >= state.electionDeadlineMs) startPreVote(state, nowMs);
    return;
  }
  checkQuorum(state, nowMs);
  if (state.role !== 'leader') return;
  if (state.transferTo !== undefined && nowMs >= state.transferDeadlineMs) {
    state.transferTo = undefined;
  }
  if (nowMs >= state.heartbeatDueMs) broadcastHeartbeats(state, nowMs);
}

export function stepMessage(
  state: RaftState,
  nowMs: number,
  from: ReplicaId,
  message: RaftMessage,
): void {
  switch (message.kind) {
    case 'vote_request':
      return handleVoteRequest(state, nowMs, from, message);
    case 'vote_response':
      return handleVoteResponse(state, nowMs, from, message);
    case 'append_request':
      return handleAppendRequest(state, nowMs, from, message);
    case 'append_response':
      return handleAppendResponse(state, nowMs, from, message);
    case 'snapshot_request':
      return handleSnapshotRequest(state, nowMs, from, message);
    case 'snapshot_response':
      return handleSnapshotResponse(state, nowMs, from, message);
    case 'timeout_now':
      return handleTimeoutNow(state, nowMs, message.term);
  }
}

/** Records that the log is synced to disk up to `index`. */
export function stepPersisted(
  state: RaftState,
  nowMs: number,
  index: number,
): void {
  state.persistedIndex = Math.max(
    state.persistedIndex,
    Math.min(index, lastIndex(state.log)),
  );
  advanceCommit(state, nowMs);
}

function checkLeader(state: RaftState): ProposeError | undefined {
  if (state.role === 'leader' && state.transferTo === undefined) {
    return undefined;
  }
  return {kind: 'not_leader', leader: state.leader};
}

function appendAndBroadcast(
  state: RaftState,
  nowMs: number,
  entry: LogEntry,
): LogPosition {
  appendToLog(state, [entry]);
  syncProgress(state, nowMs);
  broadcastAppends(state, nowMs);
  return {index: entry.index, term: entry.term};
}

/** Appends commands; each takes effect once a step returns it in `apply`. */
export function propose(
  state: RaftState,
  nowMs: number,
  commands: readonly string[],
): Result<readonly LogPosition[], ProposeError> {
  const refusal = checkLeader(state);
  if (refusal) return err(refusal);
  const firstIndex = lastIndex(state.log) + 1;
  const {term} = state;
  const entries = commands.map((data, position): LogEntry => ({
    index: firstIndex + position,
    term,
    kind: 'command',
    data,
  }));
  appendToLog(state, entries);
  broadcastAppends(state, nowMs);
  return ok(entries.map(entry => ({index: entry.index, term})));
}

/** Appends a membership that differs from the current one by one replica. */
export function proposeMembershipChange(
  state: RaftState,
  nowMs: number,
  change: MembershipChange,
): Result<LogPosition, ProposeError> {
  const refusal = checkLeader(state);
  if (refusal) return err(refusal);
  // Until a log entry of its own term is committed, a leader may not know that
  // its predecessor committed a membership change.
  const hasCommittedInTerm = state.commitIndex >= state.termStartIndex;
  if (!hasCommittedInTerm || isChangePending(state)) {
    return err({kind: 'change_pending'});
  }
  return changeMembership(currentMembership(state), change).map(membership =>
    appendAndBroadcast(state, nowMs, {
      index: lastIndex(state.log) + 1,
      term: state.term,
      kind: 'membership',
      membership,
    }),
  );
}

/**
 * Transfers the leadership to a voter whose log is complete, and returns its
 * id; undefined if there is none or if this replica doesn't lead.
 */
export function transferLeadership(
  state: RaftState,
  nowMs: number,
): ReplicaId | undefined {
  if (state.role !== 'leader') return undefined;
  const successor = currentMembership(state).replicas.find(
    replica =>
      replica.role === 'voter' &&
      state.progress.get(replica.id)?.matchIndex === lastIndex(state.log),
  );
  if (successor === undefined) return undefined;
  state.transferTo = successor.id;
  state.transferDeadlineMs = nowMs + state.config.electionTimeoutMaxMs;
  sendTimeoutNow(state, successor.id);
  return successor.id;
}

/** Creates a new group. Fails if this replica was ever a member of a group. */
export function bootstrap(
  state: RaftState,
  membership: Membership,
): Result<void, ProposeError> {
  if (lastIndex(state.log) > 0) {
    const reason = 'this replica is already a member of a group';
    return err({kind: 'invalid_change', reason});
  }
  setTermAndVote(state, 1, state.config.id);
  appendToLog(state, [{index: 1, term: 1, kind: 'membership', membership}]);
  return ok(undefined);
}

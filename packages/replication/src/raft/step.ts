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

/** Moves the clocks on: elections, heartbeats, the quorum check. */
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

/** Tells the core that the log is on disk up to `index` of `term`. */
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

function append(state: RaftState, nowMs: number, entry: LogEntry): LogPosition {
  appendToLog(state, [entry]);
  syncProgress(state, nowMs);
  broadcastAppends(state, nowMs);
  return {index: entry.index, term: entry.term};
}

/** Appends commands; they are in force once they come back as applied. */
export function propose(
  state: RaftState,
  nowMs: number,
  commands: readonly string[],
): Result<readonly LogPosition[], ProposeError> {
  const refusal = checkLeader(state);
  if (refusal) return err(refusal);
  const first = lastIndex(state.log) + 1;
  const {term} = state;
  const entries = commands.map((data, position): LogEntry => ({
    index: first + position,
    term,
    kind: 'command',
    data,
  }));
  appendToLog(state, entries);
  broadcastAppends(state, nowMs);
  return ok(entries.map(entry => ({index: entry.index, term})));
}

/** Changes the membership by one replica. */
export function proposeMembershipChange(
  state: RaftState,
  nowMs: number,
  change: MembershipChange,
): Result<LogPosition, ProposeError> {
  const refusal = checkLeader(state);
  if (refusal) return err(refusal);
  // Before an entry of its own term is committed, a leader may not know of a
  // change that its predecessor committed.
  const isTermOpen = state.commitIndex >= state.termStartIndex;
  if (!isTermOpen || isChangePending(state)) {
    return err({kind: 'change_pending'});
  }
  return changeMembership(currentMembership(state), change).map(membership =>
    append(state, nowMs, {
      index: lastIndex(state.log) + 1,
      term: state.term,
      kind: 'membership',
      membership,
    }),
  );
}

/** Hands the leadership to a voter that has the whole log. */
export function transferLeadership(
  state: RaftState,
  nowMs: number,
): ReplicaId | undefined {
  if (state.role !== 'leader') return undefined;
  const candidate = currentMembership(state).replicas.find(
    replica =>
      replica.role === 'voter' &&
      state.progress.get(replica.id)?.matchIndex === lastIndex(state.log),
  );
  if (candidate === undefined) return undefined;
  state.transferTo = candidate.id;
  state.transferDeadlineMs = nowMs + state.config.electionTimeoutMaxMs;
  sendTimeoutNow(state, candidate.id);
  return candidate.id;
}

/** Opens a new group; refused for a replica that was ever part of one. */
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

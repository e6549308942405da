/** Elections: pre-vote, vote, and the refusals that protect the lease. */
import {lastIndex, lastTerm} from './log.js';
import {hasQuorum, votersOf} from './membership.js';
import {becomeLeader} from './replication.js';
import {
  becomeFollower,
  currentMembership,
  mayStartElection,
  resetElectionDeadline,
  sendAfterPersist,
  sendNow,
  setTermAndVote,
  type RaftState,
} from './state.js';
import type {ReplicaId, VoteRequest, VoteResponse} from './types.js';

function requestVotes(state: RaftState, isPreVote: boolean): void {
  const request: VoteRequest = {
    kind: 'vote_request',
    term: isPreVote ? state.term + 1 : state.term,
    lastIndex: lastIndex(state.log),
    lastTerm: lastTerm(state.log),
    isPreVote,
    isTransfer: state.isTransferElection,
  };
  for (const voter of votersOf(currentMembership(state))) {
    if (voter.id === state.config.id) continue;
    // A vote counts only once our own term and vote are stored.
    sendAfterPersist(state, voter.id, request);
  }
}

/** Asks whether an election could be won, without disturbing the term. */
export function startPreVote(state: RaftState, nowMs: number): void {
  resetElectionDeadline(state, nowMs);
  if (!mayStartElection(state)) return;
  state.role = 'pre_candidate';
  state.leader = undefined;
  state.isTransferElection = false;
  state.votes = new Map([[state.config.id, true]]);
  requestVotes(state, true);
  advanceElection(state, nowMs);
}

export function startElection(
  state: RaftState,
  nowMs: number,
  isTransfer: boolean,
): void {
  if (!mayStartElection(state)) return;
  resetElectionDeadline(state, nowMs);
  state.role = 'candidate';
  state.leader = undefined;
  state.isTransferElection = isTransfer;
  setTermAndVote(state, state.term + 1, state.config.id);
  state.votes = new Map([[state.config.id, true]]);
  requestVotes(state, false);
  advanceElection(state, nowMs);
}

function advanceElection(state: RaftState, nowMs: number): void {
  const isWon = hasQuorum(
    currentMembership(state),
    id => state.votes.get(id) === true,
  );
  if (!isWon) return;
  if (state.role === 'pre_candidate') startElection(state, nowMs, false);
  else if (state.role === 'candidate') becomeLeader(state, nowMs);
}

function isUpToDate(state: RaftState, request: VoteRequest): boolean {
  const ownTerm = lastTerm(state.log);
  if (request.lastTerm !== ownTerm) return request.lastTerm > ownTerm;
  return request.lastIndex >= lastIndex(state.log);
}

/** Whether a leader may still rely on this replica's silence. */
function protectsLease(state: RaftState, nowMs: number): boolean {
  if (state.role === 'leader') return true;
  return nowMs < state.leaderContactAtMs + state.config.electionTimeoutMinMs;
}

function respond(
  state: RaftState,
  to: ReplicaId,
  request: VoteRequest,
  isGranted: boolean,
): void {
  const term = request.isPreVote && isGranted ? request.term : state.term;
  const {isPreVote} = request;
  const response: VoteResponse = {
    kind: 'vote_response',
    term,
    isPreVote,
    isGranted,
  };
  sendAfterPersist(state, to, response);
}

export function handleVoteRequest(
  state: RaftState,
  nowMs: number,
  from: ReplicaId,
  request: VoteRequest,
): void {
  // A replica that was never taken in has promised nothing and may not vote.
  const isMember = currentMembership(state).replicas.length > 0;
  const isProtected = protectsLease(state, nowMs) && !request.isTransfer;
  if (!isMember || isProtected || request.term < state.term) {
    respond(state, from, request, false);
    return;
  }
  if (request.isPreVote) {
    const isNewer = request.term > state.term;
    respond(state, from, request, isNewer && isUpToDate(state, request));
    return;
  }
  if (request.term > state.term) {
    becomeFollower(state, request.term, undefined);
  }
  const isFree = state.votedFor === null || state.votedFor === from;
  const isGranted =
    state.role === 'follower' && isFree && isUpToDate(state, request);
  if (isGranted) {
    setTermAndVote(state, state.term, from);
    resetElectionDeadline(state, nowMs);
  }
  respond(state, from, request, isGranted);
}

export function handleVoteResponse(
  state: RaftState,
  nowMs: number,
  from: ReplicaId,
  response: VoteResponse,
): void {
  if (!response.isGranted && response.term > state.term) {
    becomeFollower(state, response.term, undefined);
    return;
  }
  const expectedRole = response.isPreVote ? 'pre_candidate' : 'candidate';
  const expectedTerm = response.isPreVote ? state.term + 1 : state.term;
  if (state.role !== expectedRole) return;
  if (response.isGranted && response.term !== expectedTerm) return;
  state.votes.set(from, response.isGranted);
  advanceElection(state, nowMs);
}

export function handleTimeoutNow(
  state: RaftState,
  nowMs: number,
  term: number,
): void {
  if (term !== state.term || state.role !== 'follower') return;
  startElection(state, nowMs, true);
}

/** Steps down a leader that has not heard from a quorum for a whole timeout. */
export function checkQuorum(state: RaftState, nowMs: number): void {
  const oldestMs = nowMs - state.config.electionTimeoutMaxMs;
  if (state.becameLeaderAtMs > oldestMs) return;
  const isHeard = (id: ReplicaId) =>
    id === state.config.id ||
    (state.progress.get(id)?.lastContactAtMs ?? 0) > oldestMs;
  if (hasQuorum(currentMembership(state), isHeard)) return;
  becomeFollower(state, state.term, undefined);
  resetElectionDeadline(state, nowMs);
}

export function sendTimeoutNow(state: RaftState, to: ReplicaId): void {
  sendNow(state, to, {kind: 'timeout_now', term: state.term});
}

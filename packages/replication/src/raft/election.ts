/** Elections: pre-vote, vote, and the vote refusals that protect the lease. */
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
    // A vote for this replica counts only once its new term and its own vote
    // are stored, so the request is sent after that.
    sendAfterPersist(state, voter.id, request);
  }
}

/** Asks the voters whether an election could be won; the term stays. */
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
  const ownLastTerm = lastTerm(state.log);
  if (request.lastTerm !== ownLastTerm) return request.lastTerm > ownLastTerm;
  return request.lastIndex >= lastIndex(state.log);
}

/** Returns whether a leader's lease may require this replica to refuse votes. */
function mustProtectLease(state: RaftState, nowMs: number): boolean {
  if (state.role === 'leader') return true;
  return nowMs < state.leaderContactAtMs + state.config.electionTimeoutMinMs;
}

function sendVoteResponse(
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
  // A replica that was never added to a group has acknowledged neither log
  // entries nor a lease, so it may not vote.
  const hasMembership = currentMembership(state).replicas.length > 0;
  const isProtected = mustProtectLease(state, nowMs) && !request.isTransfer;
  if (!hasMembership || isProtected || request.term < state.term) {
    sendVoteResponse(state, from, request, false);
    return;
  }
  if (request.isPreVote) {
    const isNewerTerm = request.term > state.term;
    sendVoteResponse(
      state,
      from,
      request,
      isNewerTerm && isUpToDate(state, request),
    );
    return;
  }
  if (request.term > state.term) {
    becomeFollower(state, request.term, undefined);
  }
  const canVoteForSender = state.votedFor === null || state.votedFor === from;
  const isGranted =
    state.role === 'follower' && canVoteForSender && isUpToDate(state, request);
  if (isGranted) {
    setTermAndVote(state, state.term, from);
    resetElectionDeadline(state, nowMs);
  }
  sendVoteResponse(state, from, request, isGranted);
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

/** Steps down if no quorum has responded for the longest election timeout. */
export function checkQuorum(state: RaftState, nowMs: number): void {
  const oldestContactMs = nowMs - state.config.electionTimeoutMaxMs;
  if (state.becameLeaderAtMs > oldestContactMs) return;
  const isRecentlyActive = (id: ReplicaId) =>
    id === state.config.id ||
    (state.progress.get(id)?.lastContactAtMs ?? 0) > oldestContactMs;
  if (hasQuorum(currentMembership(state), isRecentlyActive)) return;
  becomeFollower(state, state.term, undefined);
  resetElectionDeadline(state, nowMs);
}

export function sendTimeoutNow(state: RaftState, to: ReplicaId): void {
  sendNow(state, to, {kind: 'timeout_now', term: state.term});
}

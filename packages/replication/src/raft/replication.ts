/** Log replication: the leader's appends, the followers' responses, commit. */
import {
  estimateEntryBytes,
  firstIndexOfTerm,
  lastIndex,
  sliceEntries,
  snapshotIndex,
  termAt,
  truncateFrom,
} from './log.js';
import {quorumValue} from './membership.js';
import {sendSnapshotChunk} from './snapshot-send.js';
import {
  acceptResponse,
  appendToLog,
  becomeFollower,
  currentMembership,
  isSelfVoter,
  rebuildMemberships,
  resetElectionDeadline,
  sendAfterPersist,
  sendNow,
  type Progress,
  type RaftState,
} from './state.js';
import type {
  AppendRequest,
  AppendResponse,
  LogEntry,
  ReplicaId,
} from './types.js';

function newProgress(state: RaftState, nowMs: number): Progress {
  return {
    mode: 'probe',
    matchIndex: 0,
    nextIndex: lastIndex(state.log) + 1,
    messagesInFlight: 0,
    bytesInFlight: 0,
    ackedSentAtMs: Number.NEGATIVE_INFINITY,
    lastContactAtMs: nowMs,
    snapshotOffsetBytes: 0,
    snapshotSentAtMs: Number.NEGATIVE_INFINITY,
    probeSentAtMs: Number.NEGATIVE_INFINITY,
  };
}

export function becomeLeader(state: RaftState, nowMs: number): void {
  state.role = 'leader';
  state.leader = state.config.id;
  state.becameLeaderAtMs = nowMs;
  state.transferTo = undefined;
  state.progress.clear();
  syncProgress(state, nowMs);
  state.termStartIndex = lastIndex(state.log) + 1;
  appendToLog(state, [
    {index: state.termStartIndex, term: state.term, kind: 'noop'},
  ]);
  state.heartbeatDueMs = nowMs;
  broadcastAppends(state, nowMs);
}

/** Adds and removes progress records to match the active membership. */
export function syncProgress(state: RaftState, nowMs: number): void {
  const members = new Set(
    currentMembership(state).replicas.map(replica => replica.id),
  );
  members.delete(state.config.id);
  for (const id of state.progress.keys()) {
    if (!members.has(id)) state.progress.delete(id);
  }
  for (const id of members) {
    if (!state.progress.has(id)) {
      state.progress.set(id, newProgress(state, nowMs));
    }
  }
}

function entriesToSend(state: RaftState, progress: Progress): LogEntry[] {
  const {maxEntriesPerMessage, maxBytesPerMessage} = state.config;
  const last = Math.min(
    lastIndex(state.log),
    progress.nextIndex + maxEntriesPerMessage - 1,
  );
  const entries = sliceEntries(state.log, progress.nextIndex, last);
  let bytes = 0;
  const cutPosition = entries.findIndex((entry, position) => {
    bytes += estimateEntryBytes(entry);
    return position > 0 && bytes > maxBytesPerMessage;
  });
  return cutPosition < 0 ? entries : entries.slice(0, cutPosition);
}

/**
 * Sends log entries. If the log entry before them was compacted, starts to send
 * the snapshot instead and returns false.
 */
function sendAppend(
  state: RaftState,
  to: ReplicaId,
  progress: Progress,
  nowMs: number,
  entries: readonly LogEntry[],
): boolean {
  const prevIndex = progress.nextIndex - 1;
  const prevTerm = termAt(state.log, prevIndex);
  if (prevTerm === undefined) {
    progress.mode = 'snapshot';
    progress.snapshotOffsetBytes = 0;
    sendSnapshotChunk(state, to, progress, nowMs);
    return false;
  }
  const request: AppendRequest = {
    kind: 'append_request',
    term: state.term,
    prevIndex,
    prevTerm,
    entries,
    commitIndex: state.commitIndex,
    sentAtMs: nowMs,
  };
  sendNow(state, to, request);
  return true;
}

function sendMissingEntries(
  state: RaftState,
  to: ReplicaId,
  progress: Progress,
  nowMs: number,
): void {
  if (progress.mode === 'snapshot') return;
  if (progress.mode === 'probe') {
    if (nowMs - progress.probeSentAtMs < state.config.heartbeatMs) return;
    progress.probeSentAtMs = nowMs;
    sendAppend(state, to, progress, nowMs, entriesToSend(state, progress));
    return;
  }
  while (
    progress.nextIndex <= lastIndex(state.log) &&
    progress.messagesInFlight < state.config.maxMessagesInFlight &&
    progress.bytesInFlight < state.config.maxBytesInFlight
  ) {
    const entries = entriesToSend(state, progress);
    if (!sendAppend(state, to, progress, nowMs, entries)) return;
    progress.nextIndex += entries.length;
    progress.messagesInFlight += 1;
    for (const entry of entries)
      progress.bytesInFlight += estimateEntryBytes(entry);
  }
}

/** Sends each follower the log entries that it is missing. */
export function broadcastAppends(state: RaftState, nowMs: number): void {
  for (const [id, progress] of state.progress) {
    sendMissingEntries(state, id, progress, nowMs);
  }
}

/** Sends heartbeats, which prevent elections and renew the leader lease. */
export function broadcastHeartbeats(state: RaftState, nowMs: number): void {
  state.heartbeatDueMs = nowMs + state.config.heartbeatMs;
  for (const [id, progress] of state.progress) {
    // Lost responses must not block further appends: resets the count.
    progress.messagesInFlight = 0;
    progress.bytesInFlight = 0;
    if (progress.mode === 'snapshot') {
      sendSnapshotChunk(state, id, progress, nowMs);
    } else {
      sendAppend(state, id, progress, nowMs, []);
      sendMissingEntries(state, id, progress, nowMs);
    }
  }
}

function rejectAppend(
  state: RaftState,
  to: ReplicaId,
  request: AppendRequest,
  index: number,
): void {
  const response: AppendResponse = {
    kind: 'append_response',
    term: state.term,
    isSuccess: false,
    index,
    rejectedPrevIndex: request.prevIndex,
    sentAtMs: request.sentAtMs,
  };
  sendAfterPersist(state, to, response);
}

/** Records the sender as the leader of this term. */
export function acceptLeader(
  state: RaftState,
  nowMs: number,
  from: ReplicaId,
  term: number,
): void {
  if (term > state.term || state.role !== 'follower') {
    becomeFollower(state, term, from);
  }
  state.leader = from;
  state.leaderContactAtMs = nowMs;
  resetElectionDeadline(state, nowMs);
}

/** Returns the request without the log entries that the snapshot covers. */
function withoutCompactedEntries(
  state: RaftState,
  request: AppendRequest,
): AppendRequest {
  const base = snapshotIndex(state.log);
  if (request.prevIndex >= base) return request;
  const entries = request.entries.filter(entry => entry.index > base);
  const prevTerm = state.log.snapshot?.term ?? 0;
  return {...request, prevIndex: base, prevTerm, entries};
}

function storeEntries(state: RaftState, entries: readonly LogEntry[]): void {
  const firstNew = entries.findIndex(
    entry => termAt(state.log, entry.index) !== entry.term,
  );
  if (firstNew < 0) return;
  const index = entries[firstNew]!.index;
  if (index <= lastIndex(state.log)) {
    truncateFrom(state.log, index);
    state.persistedIndex = Math.min(state.persistedIndex, index - 1);
    rebuildMemberships(state);
  }
  appendToLog(state, entries.slice(firstNew));
}

export function handleAppendRequest(
  state: RaftState,
  nowMs: number,
  from: ReplicaId,
  received: AppendRequest,
): void {
  if (received.term < state.term) {
    rejectAppend(state, from, received, lastIndex(state.log));
    return;
  }
  acceptLeader(state, nowMs, from, received.term);
  const request = withoutCompactedEntries(state, received);
  const ownPrevTerm = termAt(state.log, request.prevIndex);
  if (ownPrevTerm === undefined) {
    rejectAppend(state, from, received, lastIndex(state.log));
    return;
  }
  if (ownPrevTerm !== request.prevTerm) {
    const possibleMatchIndex =
      firstIndexOfTerm(state.log, request.prevIndex) - 1;
    rejectAppend(state, from, received, possibleMatchIndex);
    return;
  }
  storeEntries(state, request.entries);
  const matchIndex = request.prevIndex + request.entries.length;
  const committed = Math.min(request.commitIndex, matchIndex);
  state.commitIndex = Math.max(state.commitIndex, committed);
  const response: AppendResponse = {
    kind: 'append_response',
    term: state.term,
    isSuccess: true,
    index: matchIndex,
    rejectedPrevIndex: 0,
    sentAtMs: request.sentAtMs,
  };
  sendAfterPersist(state, from, response);
}

export function handleAppendResponse(
  state: RaftState,
  nowMs: number,
  from: ReplicaId,
  response: AppendResponse,
): void {
  const progress = acceptResponse(state, nowMs, from, response);
  if (progress === undefined) return;
  if (response.isSuccess) recordMatch(state, progress, response.index, nowMs);
  else recordRejection(progress, response);
  sendMissingEntries(state, from, progress, nowMs);
}

function recordMatch(
  state: RaftState,
  progress: Progress,
  index: number,
  nowMs: number,
): void {
  progress.messagesInFlight = Math.max(0, progress.messagesInFlight - 1);
  if (progress.messagesInFlight === 0) progress.bytesInFlight = 0;
  progress.matchIndex = Math.max(progress.matchIndex, index);
  progress.nextIndex = Math.max(progress.nextIndex, progress.matchIndex + 1);
  if (progress.mode === 'probe') progress.mode = 'replicate';
  advanceCommit(state, nowMs);
}

function recordRejection(progress: Progress, response: AppendResponse): void {
  const isStale = response.rejectedPrevIndex <= progress.matchIndex;
  if (isStale || progress.mode === 'snapshot') return;
  progress.mode = 'probe';
  progress.probeSentAtMs = Number.NEGATIVE_INFINITY;
  progress.messagesInFlight = 0;
  progress.bytesInFlight = 0;
  const retryIndex = Math.min(response.index + 1, response.rejectedPrevIndex);
  progress.nextIndex = Math.max(progress.matchIndex + 1, retryIndex, 1);
}

/** Commits up to the last index stored by a quorum, if it is of this term. */
export function advanceCommit(state: RaftState, nowMs: number): void {
  if (state.role !== 'leader') return;
  const index = quorumValue(currentMembership(state), id =>
    id === state.config.id
      ? state.persistedIndex
      : (state.progress.get(id)?.matchIndex ?? 0),
  );
  if (index <= state.commitIndex) return;
  if (termAt(state.log, index) !== state.term) return;
  state.commitIndex = index;
  if (isRemovedLeader(state)) {
    broadcastHeartbeats(state, nowMs);
    becomeFollower(state, state.term, undefined);
    resetElectionDeadline(state, nowMs);
  }
}

function isRemovedLeader(state: RaftState): boolean {
  const change = state.memberships.at(-1);
  const isCommitted = change !== undefined && change.index <= state.commitIndex;
  return isCommitted && !isSelfVoter(state);
}

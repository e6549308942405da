/** Snapshot transfer: the follower's side, and the responses on the leader. */
import {compactTo, lastIndex, snapshotIndex, termAt} from './log.js';
import {acceptLeader, advanceCommit} from './replication.js';
import {sendSnapshotChunk} from './snapshot-send.js';
import {
  acceptResponse,
  rebuildMemberships,
  sendAfterPersist,
  type RaftState,
} from './state.js';
import type {
  ReplicaId,
  Snapshot,
  SnapshotRequest,
  SnapshotResponse,
} from './types.js';

function sendSnapshotResponse(
  state: RaftState,
  to: ReplicaId,
  request: SnapshotRequest,
  receivedBytes: number,
  isInstalled: boolean,
): void {
  const response: SnapshotResponse = {
    kind: 'snapshot_response',
    term: state.term,
    index: request.index,
    receivedBytes,
    isInstalled,
    sentAtMs: request.sentAtMs,
  };
  sendAfterPersist(state, to, response);
}

/** Adds a chunk; returns how many bytes of this snapshot have been received. */
function addChunk(
  state: RaftState,
  from: ReplicaId,
  request: SnapshotRequest,
): number {
  const current = state.incomingSnapshot;
  const isSameSnapshot =
    current?.from === from &&
    current.index === request.index &&
    current.term === request.snapshotTerm;
  const incoming =
    current && isSameSnapshot
      ? current
      : {
          from,
          index: request.index,
          term: request.snapshotTerm,
          chunks: [],
          receivedBytes: 0,
        };
  state.incomingSnapshot = incoming;
  if (request.offsetBytes !== incoming.receivedBytes) {
    return incoming.receivedBytes;
  }
  const chunk = Buffer.from(request.chunk, 'base64');
  incoming.chunks.push(chunk);
  incoming.receivedBytes += chunk.length;
  return incoming.receivedBytes;
}

function installSnapshot(state: RaftState, request: SnapshotRequest): void {
  const data = Buffer.concat(state.incomingSnapshot?.chunks ?? []);
  state.incomingSnapshot = undefined;
  const snapshot: Snapshot = {
    index: request.index,
    term: request.snapshotTerm,
    membership: request.membership,
    data,
  };
  const isInLog = termAt(state.log, request.index) === request.snapshotTerm;
  if (isInLog) {
    compactTo(state.log, snapshot);
  } else {
    state.log.snapshot = snapshot;
    state.log.entries = [];
    state.persistedIndex = snapshot.index;
    state.pending.entries = [];
  }
  rebuildMemberships(state);
  state.persistedIndex = Math.max(state.persistedIndex, snapshot.index);
  state.commitIndex = snapshot.index;
  state.appliedIndex = snapshot.index;
  state.pending.snapshot = snapshot;
  state.pending.restore = snapshot;
}

export function handleSnapshotRequest(
  state: RaftState,
  nowMs: number,
  from: ReplicaId,
  request: SnapshotRequest,
): void {
  if (request.term < state.term) {
    sendSnapshotResponse(state, from, request, 0, false);
    return;
  }
  acceptLeader(state, nowMs, from, request.term);
  if (request.index <= state.commitIndex) {
    sendSnapshotResponse(state, from, request, request.totalBytes, true);
    return;
  }
  const receivedBytes = addChunk(state, from, request);
  const isComplete = receivedBytes >= request.totalBytes;
  if (isComplete) installSnapshot(state, request);
  sendSnapshotResponse(state, from, request, receivedBytes, isComplete);
}

export function handleSnapshotResponse(
  state: RaftState,
  nowMs: number,
  from: ReplicaId,
  response: SnapshotResponse,
): void {
  const progress = acceptResponse(state, nowMs, from, response);
  if (progress?.mode !== 'snapshot') return;
  if (response.isInstalled) {
    progress.mode = 'probe';
    progress.probeSentAtMs = Number.NEGATIVE_INFINITY;
    progress.matchIndex = Math.max(progress.matchIndex, response.index);
    progress.nextIndex = Math.min(
      progress.matchIndex + 1,
      lastIndex(state.log) + 1,
    );
    advanceCommit(state, nowMs);
    return;
  }
  const isCurrent = response.index === snapshotIndex(state.log);
  progress.snapshotOffsetBytes = isCurrent ? response.receivedBytes : 0;
  sendSnapshotChunk(state, from, progress, nowMs);
}

/** Compaction of this replica's log, and the chunked sending of snapshots. */
import {compactTo, snapshotIndex, termAt} from './log.js';
import {
  membershipAt,
  rebuildMemberships,
  sendNow,
  type Progress,
  type RaftState,
} from './state.js';
import type {ReplicaId, Snapshot} from './types.js';

/** Replaces the applied log up to `index` with `data`, the state at `index`. */
export function compact(
  state: RaftState,
  index: number,
  data: Uint8Array,
): void {
  if (index <= snapshotIndex(state.log) || index > state.appliedIndex) return;
  const term = termAt(state.log, index)!;
  const membership = membershipAt(state, index);
  const snapshot: Snapshot = {index, term, membership, data};
  compactTo(state.log, snapshot);
  rebuildMemberships(state);
  state.pending.snapshot = snapshot;
}

export function sendSnapshotChunk(
  state: RaftState,
  to: ReplicaId,
  progress: Progress,
  nowMs: number,
): void {
  const {snapshot} = state.log;
  if (snapshot === undefined) return;
  const offsetBytes = Math.min(
    progress.snapshotOffsetBytes,
    snapshot.data.length,
  );
  const chunk = snapshot.data.subarray(
    offsetBytes,
    offsetBytes + state.config.snapshotChunkBytes,
  );
  progress.snapshotSentAtMs = nowMs;
  sendNow(state, to, {
    kind: 'snapshot_request',
    term: state.term,
    index: snapshot.index,
    snapshotTerm: snapshot.term,
    membership: snapshot.membership,
    offsetBytes,
    totalBytes: snapshot.data.length,
    chunk: Buffer.from(chunk).toString('base64'),
    sentAtMs: nowMs,
  });
}

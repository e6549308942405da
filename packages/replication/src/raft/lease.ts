/**
 * The leader's lease: until when no other replica can have been elected.
 *
 * A voter refuses its vote for the shortest election timeout after it heard
 * from a leader. So once a quorum has echoed a message sent at time T, nobody
 * else can win before T plus that timeout, less the drift of the clocks.
 */
import {quorumValue} from './membership.js';
import {currentMembership, type RaftState} from './state.js';
import type {ReplicaId} from './types.js';

function ackedSentAtMs(state: RaftState, id: ReplicaId, nowMs: number): number {
  if (id === state.config.id) return nowMs;
  return state.progress.get(id)?.ackedSentAtMs ?? Number.NEGATIVE_INFINITY;
}

/** The end of the lease, or minus infinity for a replica without one. */
export function leaseEndMs(state: RaftState, nowMs: number): number {
  if (state.role !== 'leader' || state.transferTo !== undefined) {
    return Number.NEGATIVE_INFINITY;
  }
  const sentAtMs = quorumValue(currentMembership(state), id =>
    ackedSentAtMs(state, id, nowMs),
  );
  const {electionTimeoutMinMs, clockDriftMs} = state.config;
  return sentAtMs + electionTimeoutMinMs - clockDriftMs;
}

/** Whether this replica may answer from its own state as the leader. */
export function holdsLease(state: RaftState, nowMs: number): boolean {
  const hasCommittedInTerm = state.commitIndex >= state.termStartIndex;
  return hasCommittedInTerm && nowMs < leaseEndMs(state, nowMs);
}

/**
 * The latest of this leader's own times such that a quorum answered a message
 * sent then or later. Minus infinity for a replica that does not lead.
 */
export function quorumContactAtMs(state: RaftState): number {
  if (state.role !== 'leader') return Number.NEGATIVE_INFINITY;
  return quorumValue(currentMembership(state), id =>
    ackedSentAtMs(state, id, Number.POSITIVE_INFINITY),
  );
}

/**
 * The leader lease: the time until which no other replica can be elected.
 *
 * A voter rejects votes for the shortest election timeout after its last
 * contact with a leader. Once a quorum has echoed a message sent at time T, no
 * other replica can win before T plus that timeout, minus the clock drift.
 */
import {quorumValue} from './membership.js';
import {currentMembership, type RaftState} from './state.js';
import type {ReplicaId} from './types.js';

function ackedSentAtMs(state: RaftState, id: ReplicaId, nowMs: number): number {
  if (id === state.config.id) return nowMs;
  return state.progress.get(id)?.ackedSentAtMs ?? Number.NEGATIVE_INFINITY;
}

/** Returns the end of the lease; minus infinity for a replica without one. */
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

/** Returns whether this replica may serve reads from its state as the leader. */
export function holdsLease(state: RaftState, nowMs: number): boolean {
  const hasCommittedInTerm = state.commitIndex >= state.termStartIndex;
  return hasCommittedInTerm && nowMs < leaseEndMs(state, nowMs);
}

/**
 * Returns the latest time on this leader's clock such that a quorum responded
 * to messages sent at that time or later. Minus infinity for a replica that
 * isn't the leader.
 */
export function quorumContactAtMs(state: RaftState): number {
  if (state.role !== 'leader') return Number.NEGATIVE_INFINITY;
  return quorumValue(currentMembership(state), id =>
    ackedSentAtMs(state, id, Number.POSITIVE_INFINITY),
  );
}

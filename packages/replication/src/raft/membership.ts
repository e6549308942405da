/** Quorums, and single-server membership changes. */
import {err, ok, type Result} from 'neverthrow';
import type {Membership, ProposeError, Replica, ReplicaId} from './types.js';

export const EMPTY_MEMBERSHIP: Membership = {replicas: []};

export function votersOf(membership: Membership): Replica[] {
  return membership.replicas.filter(replica => replica.role === 'voter');
}

export function isVoter(membership: Membership, id: ReplicaId): boolean {
  return membership.replicas.some(
    replica => replica.id === id && replica.role === 'voter',
  );
}

export function quorumSize(membership: Membership): number {
  return Math.floor(votersOf(membership).length / 2) + 1;
}

/** Returns the largest value that a quorum of voters has reached. */
export function quorumValue(
  membership: Membership,
  valueOf: (id: ReplicaId) => number,
): number {
  const values = votersOf(membership).map(voter => valueOf(voter.id));
  values.sort((a, b) => b - a);
  return values[quorumSize(membership) - 1] ?? 0;
}

export function hasQuorum(
  membership: Membership,
  isCounted: (id: ReplicaId) => boolean,
): boolean {
  const counted = votersOf(membership).filter(voter => isCounted(voter.id));
  return counted.length >= quorumSize(membership);
}

export type MembershipChange =
  | {readonly kind: 'add_learner'; readonly replica: Replica}
  | {readonly kind: 'promote'; readonly id: ReplicaId}
  | {readonly kind: 'remove'; readonly id: ReplicaId};

/**
 * Applies one change. Only one voter is added or removed at a time, so any
 * quorum of the old membership shares a replica with any quorum of the new one.
 */
export function changeMembership(
  membership: Membership,
  change: MembershipChange,
): Result<Membership, ProposeError> {
  const refuse = (reason: string) =>
    err({kind: 'invalid_change' as const, reason});
  const {replicas} = membership;
  switch (change.kind) {
    case 'add_learner': {
      const id = change.replica.id;
      if (replicas.some(replica => replica.id === id)) {
        return refuse(`${id} is already a member`);
      }
      const learner: Replica = {...change.replica, role: 'learner'};
      return ok({replicas: [...replicas, learner]});
    }
    case 'promote': {
      if (!replicas.some(r => r.id === change.id && r.role === 'learner')) {
        return refuse(`${change.id} is not a learner`);
      }
      const promoted = replicas.map(replica =>
        replica.id === change.id
          ? {...replica, role: 'voter' as const}
          : replica,
      );
      return ok({replicas: promoted});
    }
    case 'remove': {
      const kept = replicas.filter(replica => replica.id !== change.id);
      if (kept.length === replicas.length) {
        return refuse(`${change.id} is not a member`);
      }
      if (votersOf({replicas: kept}).length === 0) {
        return refuse('the last voter cannot be removed');
      }
      return ok({replicas: kept});
    }
  }
}

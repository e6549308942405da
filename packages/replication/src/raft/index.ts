export {holdsLease, leaseEndMs, quorumContactAtMs} from './lease.js';
export {estimateEntryBytes, lastIndex, snapshotIndex} from './log.js';
export {
  changeMembership,
  EMPTY_MEMBERSHIP,
  hasQuorum,
  isVoter,
  quorumSize,
  votersOf,
  type MembershipChange,
} from './membership.js';
export {broadcastHeartbeats} from './replication.js';
export {compact} from './snapshot-send.js';
export {
  createRaft,
  hasNoEffects,
  currentMembership,
  isChangePending,
  membershipAt,
  takeEffects,
  type Progress,
  type RaftState,
  type PersistentState,
  type RaftRole,
} from './state.js';
export {
  bootstrap,
  propose,
  proposeMembershipChange,
  stepMessage,
  stepPersisted,
  stepTick,
  transferLeadership,
} from './step.js';
export * from './types.js';

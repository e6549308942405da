/**
 * Messages, inputs and effects of the consensus core.
 *
 * The core is a Raft replica written as a step function: each step receives an
 * input with the current monotonic time, and returns what to store, send and
 * apply. The core performs no I/O.
 */
declare const brand: unique symbol;

/**
 * Identifies a replica on one disk. A new disk gets a new id, so that no id
 * votes twice in a term.
 */
export type ReplicaId = string & {readonly [brand]: 'ReplicaId'};
export const replicaId = (text: string): ReplicaId => text as ReplicaId;

export type ReplicaRole = 'voter' | 'learner';

export interface Replica {
  readonly id: ReplicaId;
  /** The instance that runs the replica; stays when its disk is replaced. */
  readonly instance: string;
  readonly address: string;
  readonly port: number;
  readonly role: ReplicaRole;
}

/** The members of the group; changes by one replica at a time. */
export interface Membership {
  readonly replicas: readonly Replica[];
}

export type LogEntry = {
  readonly index: number;
  readonly term: number;
} & (
  | {readonly kind: 'noop'}
  | {readonly kind: 'command'; readonly data: string}
  | {readonly kind: 'membership'; readonly membership: Membership}
);

export interface HardState {
  readonly term: number;
  readonly votedFor: ReplicaId | null;
}

export interface Snapshot {
  readonly index: number;
  readonly term: number;
  readonly membership: Membership;
  readonly data: Uint8Array;
}

export interface VoteRequest {
  readonly kind: 'vote_request';
  readonly term: number;
  readonly lastIndex: number;
  readonly lastTerm: number;
  readonly isPreVote: boolean;
  /** Whether the leader requested this election to transfer its leadership. */
  readonly isTransfer: boolean;
}

export interface VoteResponse {
  readonly kind: 'vote_response';
  readonly term: number;
  readonly isPreVote: boolean;
  readonly isGranted: boolean;
}

export interface AppendRequest {
  readonly kind: 'append_request';
  readonly term: number;
  readonly prevIndex: number;
  readonly prevTerm: number;
  readonly entries: readonly LogEntry[];
  readonly commitIndex: number;
  /** Send time on the leader's clock; its echo renews the leader lease. */
  readonly sentAtMs: number;
}

export interface AppendResponse {
  readonly kind: 'append_response';
  readonly term: number;
  readonly isSuccess: boolean;
  /** On success the match index, otherwise the last index that may match. */
  readonly index: number;
  readonly rejectedPrevIndex: number;
  readonly sentAtMs: number;
}

export interface SnapshotRequest {
  readonly kind: 'snapshot_request';
  readonly term: number;
  readonly index: number;
  readonly snapshotTerm: number;
  readonly membership: Membership;
  readonly offsetBytes: number;
  readonly totalBytes: number;
  /** Base64 of the chunk. */
  readonly chunk: string;
  readonly sentAtMs: number;
}

export interface SnapshotResponse {
  readonly kind: 'snapshot_response';
  readonly term: number;
  readonly index: number;
  readonly receivedBytes: number;
  readonly isInstalled: boolean;
  readonly sentAtMs: number;
}

/** Makes a caught-up follower start an election immediately. */
export interface TimeoutNow {
  readonly kind: 'timeout_now';
  readonly term: number;
}

export type RaftMessage =
  | VoteRequest
  | VoteResponse
  | AppendRequest
  | AppendResponse
  | SnapshotRequest
  | SnapshotResponse
  | TimeoutNow;

export interface Envelope {
  readonly from: ReplicaId;
  readonly to: ReplicaId;
  readonly message: RaftMessage;
}

/** The effects of one step, which its caller carries out in this order. */
export interface RaftEffects {
  /** Messages that may be sent before `persist` is on disk. */
  readonly sendNow: readonly Envelope[];
  readonly persist: PersistBatch | undefined;
  /** Messages that must not be sent before `persist` is on disk. */
  readonly sendAfterPersist: readonly Envelope[];
  readonly restore: Snapshot | undefined;
  readonly apply: readonly LogEntry[];
}

/** Data that is stored with one write and one sync. */
export interface PersistBatch {
  readonly hardState: HardState | undefined;
  /** Replace all stored log entries from the first of these indices on. */
  readonly entries: readonly LogEntry[];
  readonly snapshot: Snapshot | undefined;
}

export interface RaftConfig {
  readonly id: ReplicaId;
  readonly heartbeatMs: number;
  readonly electionTimeoutMinMs: number;
  readonly electionTimeoutMaxMs: number;
  readonly clockDriftMs: number;
  readonly maxEntriesPerMessage: number;
  readonly maxBytesPerMessage: number;
  readonly maxMessagesInFlight: number;
  /** Bytes of entries on their way to a follower; one message may exceed it. */
  readonly maxBytesInFlight: number;
  readonly snapshotChunkBytes: number;
  /** Returns a random integer from 0 up to but not including `bound`. */
  readonly randomBelow: (bound: number) => number;
}

export type ProposeError =
  | {readonly kind: 'not_leader'; readonly leader: ReplicaId | undefined}
  | {readonly kind: 'change_pending'}
  | {readonly kind: 'invalid_change'; readonly reason: string};

export interface LogPosition {
  readonly index: number;
  readonly term: number;
}

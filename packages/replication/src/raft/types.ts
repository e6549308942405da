/**
 * Messages, inputs and effects of the consensus core.
 *
 * The core is a Raft replica written as a step function: it gets an input with
 * the time on the monotonic clock and says what to store, send and apply. It
 * does no input or output of its own.
 */
declare const brand: unique symbol;

/** One replica on one disk: a new disk makes a new id, so it never votes twice. */
export type ReplicaId = string & {readonly [brand]: 'ReplicaId'};
export const replicaId = (text: string): ReplicaId => text as ReplicaId;

export type ReplicaRole = 'voter' | 'learner';

export interface Replica {
  readonly id: ReplicaId;
  /** The instance it runs on; survives a change of disk. */
  readonly instance: string;
  readonly address: string;
  readonly port: number;
  readonly role: ReplicaRole;
}

/** The members of the group. Changes by one replica at a time. */
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
  /** Set when the leader itself asked for this election. */
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
  /** The leader's clock when it sent this; echoed to prove its lease. */
  readonly sentAtMs: number;
}

export interface AppendResponse {
  readonly kind: 'append_response';
  readonly term: number;
  readonly isSuccess: boolean;
  /** On success the last index known to match, else the place to try next. */
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

/** Tells a caught-up follower to stand for election at once. */
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

/** What one step asks of its surroundings, in this order. */
export interface RaftEffects {
  /** May be sent before anything is stored. */
  readonly sendNow: readonly Envelope[];
  readonly persist: PersistBatch | undefined;
  /** Must not be sent before `persist` is on disk. */
  readonly sendAfterPersist: readonly Envelope[];
  readonly restore: Snapshot | undefined;
  readonly apply: readonly LogEntry[];
}

/** All of this goes to disk in one write and one sync. */
export interface PersistBatch {
  readonly hardState: HardState | undefined;
  /** Replaces whatever the log held from the first of these indices on. */
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
  readonly snapshotChunkBytes: number;
  /** A whole number from 0 up to but not including `bound`. */
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

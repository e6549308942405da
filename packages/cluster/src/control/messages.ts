/** The messages between daemons, as they travel. */
import type {
  InstanceId,
  RequestId,
  TargetId,
  ZoneId,
} from '@samphirefield/core';
import type {TargetAnnouncement} from '@samphirefield/gateway';
import type {Envelope, ReplicaId} from '@samphirefield/replication';
import type {Address} from '../link/index.js';

/** Opens a subscription: the other side sends what it knows and what changes. */
export interface Hello {
  readonly instance: InstanceId;
  /** Another one with each start of the process. */
  readonly incarnation: string;
  readonly role: 'entry' | 'control';
  readonly zone: ZoneId;
}

/** Where the group stands, as the sender sees it. */
export interface GroupStatus {
  readonly term: number;
  readonly leader: Address | undefined;
  readonly members: readonly Address[];
  /** Log index of the newest change that the sender has applied. */
  readonly index: number;
  /** Entries that are connected to the sender. */
  readonly entryCount: number;
}

export interface TargetUpdate {
  readonly announcement: TargetAnnouncement;
  readonly ageMs: number;
  /** Whether the sender has not heard it for too long. */
  readonly isSilent: boolean;
}

export interface TargetsMessage {
  readonly items: readonly TargetUpdate[];
}

export interface RaftLinkMessage {
  readonly envelope: Envelope;
  readonly replyTo: Address;
}

/** A daemon with a disk asks to be taken into the group. */
export interface JoinRequest {
  readonly replica: ReplicaId;
  readonly address: Address;
  readonly zone: ZoneId;
}

export interface HeldRun {
  readonly request: RequestId;
  readonly target: TargetId;
  readonly kvTokens: number;
}

/** All runs of an entry, for a leader that does not know them. */
export interface HeldRuns {
  readonly entry: InstanceId;
  readonly runs: readonly HeldRun[];
}

export interface FinishMessage {
  readonly request: RequestId;
  readonly outcome: string;
}

/** Asks for, or gives back, the turn to move a run off a target. */
export interface MovePermitMessage {
  readonly source: TargetId;
  readonly holder: RequestId;
}

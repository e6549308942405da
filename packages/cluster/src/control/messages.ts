/** Messages between daemons; sent as JSON, so the field names are fixed. */
import type {
  Fingerprint,
  InstanceId,
  RequestId,
  TargetId,
  ZoneId,
} from '@samphirefield/core';
import type {
  RelayEndpoint,
  RelayPeer,
  TargetAnnouncement,
} from '@samphirefield/gateway';
import type {CrashEvidence} from '@samphirefield/policy/quarantine';
import type {StatementReport} from '@samphirefield/policy/statements';
import type {EncodedReport} from '@samphirefield/policy/target-load';
import type {Envelope, ReplicaId} from '@samphirefield/replication';
import type {DocumentUpdate} from '../documents/index.js';
import type {Address} from '../link/index.js';
import type {ClusterState} from './state-machine.js';

/**
 * Subscribes the sender: the receiver sends its status and every change of it,
 * and the same for targets if the sender wants them.
 */
export interface Hello {
  readonly instance: InstanceId;
  /** Differs with each start of the process. */
  readonly incarnation: string;
  readonly role: 'entry' | 'control';
  readonly zone: ZoneId;
  readonly receivesTargets: boolean;
  /** Where other daemons reach the sender; of control daemons only. */
  readonly address?: Address;
  /**
   * Where an entry accepts relayed requests; earlier builds leave it out.
   */
  readonly relay?: RelayEndpoint;
  /** Whether the sender supports rollouts; earlier builds leave it out. */
  readonly handlesRollouts?: boolean;
}

/** Status of the control group, as known to the sender. */
export interface GroupStatus {
  readonly term: number;
  readonly leader: Address | undefined;
  /** With a sender outside the group: the members that were reported to it. */
  readonly members: readonly Address[];
  /**
   * Index of the last log entry applied by the sender that changed the state.
   */
  readonly index: number;
  /**
   * Entries that are connected to the leader, as known to the sender; 0 if it
   * does not know.
   */
  readonly entryCount: number;
}

export interface PullRequest {
  /** Version of the configuration that the requester has; 0 if none. */
  readonly knownVersion: number;
  /** Whether the requester reads `update`; earlier builds leave it out. */
  readonly acceptsUpdates?: boolean;
  /**
   * Whether only the newest accepted state will do, confirmed by the leader;
   * earlier builds ignore it.
   */
  readonly mustBeNewest?: boolean;
}

/**
 * The state; without the document if the requester has this version, or if
 * `update` leads to it.
 */
export interface StateUpdate extends Omit<ClusterState, 'document'> {
  readonly document: string | undefined;
  readonly update?: DocumentUpdate;
}

export interface TargetUpdate {
  readonly announcement: TargetAnnouncement;
  readonly ageMs: number;
  /**
   * Whether the sender has received no announcement of the target for too long.
   */
  readonly isSilent: boolean;
}

export interface TargetsMessage {
  readonly items: readonly TargetUpdate[];
}

/** The entries through which the receiver can relay, the best first. */
export interface RelayPeersMessage {
  readonly peers: readonly RelayPeer[];
}

export interface RaftLinkMessage {
  readonly envelope: Envelope;
  readonly replyTo: Address;
}

/** Request of a daemon with a disk to join the control group. */
export interface JoinRequest {
  readonly replica: ReplicaId;
  readonly address: Address;
  readonly zone: ZoneId;
}

/** Asks the leader to give the sender's part in the group to another daemon. */
export interface LeaveRequest {
  readonly replica: ReplicaId;
}

/**
 * `released`: the sender has no vote; `kept`: no daemon can replace it now;
 * `not_leader`: the receiver does not lead, or no longer.
 */
export type LeaveOutcome = 'released' | 'kept' | 'not_leader';

export interface HeldRun {
  readonly request: RequestId;
  readonly target: TargetId;
  readonly kvTokens: number;
}

/**
 * All runs of an entry, for a leader that is new or whose connection broke: it
 * has no record of some of them, and of some it does not know that they ended.
 */
export interface HeldRuns {
  readonly entry: InstanceId;
  readonly runs: readonly HeldRun[];
}

/** Runs of an entry beside those that the leader knows. */
export interface MoreRuns {
  readonly entry: InstanceId;
  readonly runs: readonly HeldRun[];
}

export interface FinishMessage {
  readonly request: RequestId;
  /** As daemons of earlier builds know it; see `finish-message.ts`. */
  readonly outcome: string;
  /** Whether the target has nothing left of the run; missing: nobody knows. */
  readonly isOver?: boolean;
}

/** Requests or releases the permit to move a run off a target. */
export interface MovePermitMessage {
  readonly source: TargetId;
  readonly holder: RequestId;
}

/** Asks the leader to record a crash of a target. */
export interface CrashMessage {
  readonly crash: CrashEvidence;
  /** How long ago the target crashed. */
  readonly ageMs: number;
}

/** Statements of targets, to or from the leader. */
export interface StatementsMessage {
  readonly reports: readonly StatementReport[];
}

/** Reports the load and speed of targets to the leader. */
export interface TargetLoadsMessage {
  readonly rows: readonly EncodedReport[];
}

/** Asks the leader for one sending to a target with a limit. */
export interface SendRequest {
  readonly entry: InstanceId;
  readonly target: TargetId;
}

export interface SendAnswer {
  readonly isGranted: boolean;
  /** Entries that asked for sendings to the target lately, the sender too. */
  readonly sharers: number;
  /** Time until the next sending may be granted. */
  readonly retryAfterMs: number;
}

/** Suspects that a target answered, or whose run ended and tells nothing. */
export interface SuspectsMessage {
  readonly fingerprints: readonly Fingerprint[];
}

/**
 * Allotments: the part of a target that one entry may use. The leader divides
 * what each target bears, so that entries admit without asking anybody and the
 * sum over them never exceeds what the target bears.
 */
import type {
  Announcement,
  Branded,
  Fingerprint,
  InstanceId,
  ServiceId,
  TargetId,
  ZoneId,
} from '@samphirefield/core';
import type {CrashId, QuarantineTable} from '../quarantine/index.js';
import type {Capacity} from './capacity.js';

/** One run of one entry: an instance and its incarnation. */
export type HolderId = Branded<string, 'HolderId'>;
export const holderId = (text: string): HolderId => text as HolderId;

/** A target as the leader knows it. */
export interface TargetRow {
  readonly target: TargetId;
  announcement: Announcement;
  lastSeenAtMs: number;
  /** When the load figures were taken. */
  reportedAtMs: number;
  /** Requests that ended on it since it was last cold. */
  finishedSinceWarm: number;
  isExpired: boolean;
  /** Whether it was out of service when last looked at. */
  wasOutOfService: boolean;
  /** Set on return into service: what it says of its warmth may be old. */
  isRamping: boolean;
  /** When it came back; what was heard before does not count for the ramp. */
  backInServiceAtMs: number;
  /** Whether load of holders that this leader never heard of is accounted for. */
  isUnaccountedLoadCharged: boolean;
  /** The leader's version of the row, for entries that ask for news. */
  version: number;
}

/** What a service's requests wait for at one entry. */
export interface Demand {
  readonly service: ServiceId;
  readonly waiting: number;
  /** The largest memory need among the next ones. */
  readonly kvNeedTokens: number;
}

export interface EntryRow {
  readonly holder: HolderId;
  readonly instance: InstanceId;
  readonly zone: ZoneId;
  sequence: number;
  lastSeenAtMs: number;
  /** After this the entry itself no longer uses what it was given. */
  leaseEndMs: number;
  demand: readonly Demand[];
  waitingSuspects: readonly Fingerprint[];
  runningSuspects: readonly Fingerprint[];
}

/** The most that a holder may believe to have, and what it uses. */
export interface Grant {
  slots: number;
  kvTokens: number;
  inUse: number;
  kvInUse: number;
  finished: number;
  /** The least in use lately, in this window of time and in the one before. */
  minInUse: number;
  previousMinInUse: number;
  minWindowStartMs: number;
}

export type GrantsOfTarget = Map<HolderId, Grant>;

/** What a plan gave to each holder of a target, kept for a moment. */
export interface TargetPlan {
  readonly plannedAtMs: number;
  readonly capacity: Capacity;
  readonly shares: ReadonlyMap<HolderId, Capacity>;
}

export interface LeaderTables {
  readonly targets: Map<TargetId, TargetRow>;
  readonly entries: Map<HolderId, EntryRow>;
  readonly grants: Map<TargetId, GrantsOfTarget>;
  readonly plans: Map<TargetId, TargetPlan>;
  readonly quarantine: QuarantineTable;
  /** Set once load that no holder explains was charged to a target. */
  hasUnaccountedLoad: boolean;
  /** Before this, grants of an earlier leader may be in use unseen. */
  graceEndMs: number;
  targetsVersion: number;
  /** The suspect whose turn it is, and with whom. */
  suspectTurn: {holder: HolderId; fingerprint: Fingerprint} | undefined;
}

/** One allotment as an entry holds it and reports it. */
export interface HeldAllocation {
  readonly target: TargetId;
  readonly incarnation: string;
  readonly slots: number;
  readonly kvTokens: number;
  readonly inUse: number;
  readonly kvInUse: number;
  /** Requests that ended there since this incarnation was first seen. */
  readonly finished: number;
}

export interface ReceivedAnnouncement {
  readonly announcement: Announcement;
  readonly heardAgoMs: number;
}

export interface CrashReport {
  readonly death: CrashId;
  readonly fingerprints: readonly Fingerprint[];
}

/** What an entry tells the leader with each heartbeat. */
export interface EntryReport {
  readonly holder: HolderId;
  readonly instance: InstanceId;
  readonly zone: ZoneId;
  readonly sequence: number;
  readonly held: readonly HeldAllocation[];
  readonly demand: readonly Demand[];
  readonly announcements: readonly ReceivedAnnouncement[];
  readonly deaths: readonly CrashReport[];
  readonly clearedSuspects: readonly Fingerprint[];
  readonly waitingSuspects: readonly Fingerprint[];
  readonly runningSuspects: readonly Fingerprint[];
  readonly knownTargetsVersion: number;
  readonly knownQuarantineVersion: number;
}

export interface Allocation {
  readonly target: TargetId;
  readonly slots: number;
  readonly kvTokens: number;
}

/** A target as entries need to know it. */
export interface TargetView {
  readonly target: TargetId;
  readonly incarnation: string;
  readonly zone: ZoneId;
  readonly service: ServiceId;
  readonly address: string;
  readonly port: number;
  readonly models: ReadonlyArray<{
    readonly model: string;
    readonly version: string;
  }>;
  readonly slots: number;
  readonly kvTokens: number;
  readonly isWarm: boolean;
  readonly isLeaving: boolean;
  readonly isLapsed: boolean;
  readonly running: number;
  readonly kvUsedTokens: number;
}

export interface SuspectView {
  readonly fingerprint: Fingerprint;
  readonly isQuarantined: boolean;
}

/** What the leader answers to a heartbeat. */
export interface ReportResponse {
  readonly sequence: number;
  readonly allotments: readonly Allocation[];
  readonly targetsVersion: number;
  readonly targets: readonly TargetView[];
  readonly quarantineVersion: number;
  /** Left out when nothing changed. */
  readonly suspects: readonly SuspectView[] | undefined;
  readonly suspectTurns: readonly Fingerprint[];
}

/** What the configuration says about whom to give work. */
export interface ServiceState {
  readonly outZones: ReadonlySet<ZoneId>;
  readonly outTargets: ReadonlySet<TargetId>;
}

export interface AllocationTiming {
  /** How long an allotment holds after the heartbeat that brought it. */
  readonly leaseMs: number;
  readonly clockDriftMs: number;
  readonly targetExpiryMs: number;
  /** How long a lapsed target is remembered. */
  readonly targetRetentionMs: number;
  readonly quarantineMs: number;
}

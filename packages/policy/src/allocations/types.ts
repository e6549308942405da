/**
 * Types of allocations: the part of a target's capacity that one entry may use.
 * The leader divides the capacity of each target among the entries, so that an
 * entry admits requests without a round trip and the sum of all allocations
 * never exceeds the capacity.
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

/** Identifies one start of one entry: its instance and its incarnation. */
export type HolderId = Branded<string, 'HolderId'>;
export const holderId = (text: string): HolderId => text as HolderId;

/** The leader's record of a target. */
export interface TargetRow {
  readonly target: TargetId;
  announcement: Announcement;
  /** When this leader or an entry received the latest announcement. */
  lastSeenAtMs: number;
  /** When the load figures in the announcement were measured. */
  reportedAtMs: number;
  /** Requests that finished on the target since it was last cold. */
  finishedSinceWarm: number;
  isExpired: boolean;
  /** Whether the target was out of service at the last check. */
  wasOutOfService: boolean;
  /**
   * Set when the target returns to service, where the warm state that it last
   * announced may be outdated.
   */
  isRamping: boolean;
  /**
   * When the target last returned to service. Requests that finish count for the
   * ramp only once the target has announced itself after this time.
   */
  backInServiceAtMs: number;
  /** Whether load of holders unknown to this leader was accounted for. */
  isUnaccountedLoadCharged: boolean;
  /** `LeaderTables.targetsVersion` at the last change that entries need. */
  version: number;
}

/** The requests of one service that wait at one entry. */
export interface Demand {
  readonly service: ServiceId;
  readonly waiting: number;
  /** The largest KV cache that one of the next waiting requests needs. */
  readonly kvNeedTokens: number;
}

/** The leader's record of an entry. */
export interface EntryRow {
  readonly holder: HolderId;
  readonly instance: InstanceId;
  readonly zone: ZoneId;
  sequence: number;
  lastSeenAtMs: number;
  /** After this time the entry itself no longer uses its allocations. */
  leaseEndMs: number;
  demand: readonly Demand[];
  waitingSuspects: readonly Fingerprint[];
  runningSuspects: readonly Fingerprint[];
}

/**
 * The leader's record of an allocation: the most that the holder may assume to
 * hold, and its reported usage.
 */
export interface Grant {
  slots: number;
  kvTokens: number;
  inUse: number;
  kvInUse: number;
  finished: number;
  /** Minimum of the slots in use within the current time window. */
  minInUse: number;
  /** Minimum of the slots in use within the previous time window. */
  previousMinInUse: number;
  minWindowStartMs: number;
}

export type GrantsOfTarget = Map<HolderId, Grant>;

/** The planned share of each holder of a target, kept for a short reuse. */
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
  /** Set once load that no known holder accounts for was charged to a target. */
  hasUnaccountedLoad: boolean;
  /**
   * Before this time, grants of an earlier leader may be in use that this leader
   * has not seen yet.
   */
  graceEndMs: number;
  targetsVersion: number;
  /** The only permit to run a suspect: the suspect and the permit's holder. */
  suspectPermit: {holder: HolderId; fingerprint: Fingerprint} | undefined;
}

/** One allocation with its usage, as reported by the entry that holds it. */
export interface HeldAllocation {
  readonly target: TargetId;
  readonly incarnation: string;
  readonly slots: number;
  readonly kvTokens: number;
  readonly inUse: number;
  readonly kvInUse: number;
  /** Requests finished there since the entry first saw this incarnation. */
  readonly finished: number;
}

/** A target's announcement that an entry received and passes on. */
export interface ReceivedAnnouncement {
  readonly announcement: Announcement;
  /** How long before sending its report the entry received it. */
  readonly heardAgoMs: number;
}

/** A target's crash and the requests that were running on the target. */
export interface CrashReport {
  readonly death: CrashId;
  readonly fingerprints: readonly Fingerprint[];
  /** The shared parts of the prompts of runs without a token so far. */
  readonly prompts: ReadonlyArray<readonly Fingerprint[]>;
}

/** The report that an entry sends to the leader with each heartbeat. */
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
  /** Quarantined under an earlier leader, whose table is lost. */
  readonly inheritedQuarantine: readonly Fingerprint[];
  readonly waitingSuspects: readonly Fingerprint[];
  readonly runningSuspects: readonly Fingerprint[];
  readonly knownTargetsVersion: number;
  readonly knownQuarantineVersion: number;
}

/** The part of one target that the leader grants to one entry. */
export interface Allocation {
  readonly target: TargetId;
  readonly slots: number;
  readonly kvTokens: number;
}

/** The part of a target's state that the leader sends to entries. */
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

/** The leader's response to a heartbeat. */
export interface ReportResponse {
  readonly sequence: number;
  readonly allotments: readonly Allocation[];
  readonly targetsVersion: number;
  readonly targets: readonly TargetView[];
  readonly quarantineVersion: number;
  /** Undefined when the entry already has this quarantine version. */
  readonly suspects: readonly SuspectView[] | undefined;
  /** The suspects that this entry has a permit to run now: at most one. */
  readonly suspectTurns: readonly Fingerprint[];
}

/** The zones and targets that the configuration takes out of service. */
export interface ServiceState {
  readonly outZones: ReadonlySet<ZoneId>;
  readonly outTargets: ReadonlySet<TargetId>;
}

export interface AllocationTiming {
  /** How long an allocation is valid after the heartbeat it responds to. */
  readonly leaseMs: number;
  /** Added to a lease on the leader, for clocks that run at different rates. */
  readonly clockDriftMs: number;
  /** A target without an announcement for this long is marked as expired. */
  readonly targetExpiryMs: number;
  /** A target without an announcement for this long is removed. */
  readonly targetRetentionMs: number;
  /** How long suspects and quarantined requests are kept after a change. */
  readonly quarantineMs: number;
}

/** The tables of one entry; the systems beside this file run over them. */
import {
  EMPTY_CONFIG,
  hashConfig,
  type ConfigView,
} from '@samphirefield/control';
import {
  EMPTY_RULE_SET,
  type Announcement,
  type Fingerprint,
  type InstanceId,
  type RequestId,
  type RuleSet,
  type ServiceId,
  type TargetId,
  type WorkspaceId,
  type ZoneId,
} from '@samphirefield/core';
import {
  createCacheTable,
  createQuarantine,
  type CacheTable,
  type Candidate,
  type CandidateList,
  type CrashReport,
  type HolderId,
  type LengthHistogram,
  type QuarantineTable,
  type SuspectView,
  type TargetView,
} from '@samphirefield/policy';

/** A target as this entry sees and uses it. */
export interface EntryTarget {
  view: TargetView;
  allocatedSlots: number;
  allocatedKvTokens: number;
  finishedRuns: number;
  /** Requests sent since the load figures of the view. */
  sentSinceView: number;
  /** The same target as routing decisions read it. */
  readonly candidate: Candidate;
}

/** What this entry has running on one target. */
export interface TargetUsage {
  readonly inUse: number;
  readonly kvInUse: number;
  readonly suspects: number;
}

/** A request in progress on a target. */
export interface ActiveRun {
  readonly requestId: RequestId;
  readonly workspace: WorkspaceId;
  readonly service: ServiceId;
  readonly target: TargetId;
  readonly incarnation: string;
  readonly fingerprint: Fingerprint;
  readonly isSuspect: boolean;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  generatedTokens: number;
  kvTokens: number;
}

export interface LatestAnnouncement {
  announcement: Announcement;
  receivedAtMs: number;
  isReported: boolean;
}

export interface EntryTables {
  readonly holder: HolderId;
  readonly instance: InstanceId;
  readonly zone: ZoneId;
  config: ConfigView;
  configHash: string;
  rules: RuleSet;
  /** Before this, the configuration is proven to be the newest. */
  viewLeaseEndMs: number;
  leaderTerm: number;
  knownTargetsVersion: number;
  knownQuarantineVersion: number;
  readonly targets: Map<TargetId, EntryTarget>;
  readonly latestAnnouncements: Map<TargetId, LatestAnnouncement>;
  readonly activeRuns: Map<RequestId, ActiveRun>;
  readonly usage: Map<TargetId, TargetUsage>;
  /** Built on demand, by service and model. */
  readonly candidateLists: Map<string, CandidateList>;
  readonly histograms: Map<string, LengthHistogram>;
  readonly prefixCache: CacheTable;
  /** What this entry saw itself, and what the leader merged from all. */
  readonly quarantine: QuarantineTable;
  sharedSuspects: ReadonlyMap<Fingerprint, SuspectView>;
  permittedSuspects: ReadonlySet<Fingerprint>;
  readonly waitingSuspects: Set<Fingerprint>;
  unreportedCrashes: CrashReport[];
  unreportedClearedSuspects: Fingerprint[];
}

export function createEntryTables(
  holder: HolderId,
  instance: InstanceId,
  zone: ZoneId,
): EntryTables {
  return {
    holder,
    instance,
    zone,
    config: EMPTY_CONFIG,
    configHash: hashConfig(EMPTY_CONFIG),
    rules: EMPTY_RULE_SET,
    viewLeaseEndMs: Number.NEGATIVE_INFINITY,
    leaderTerm: 0,
    knownTargetsVersion: 0,
    knownQuarantineVersion: -1,
    targets: new Map(),
    latestAnnouncements: new Map(),
    activeRuns: new Map(),
    usage: new Map(),
    candidateLists: new Map(),
    histograms: new Map(),
    prefixCache: createCacheTable(),
    quarantine: createQuarantine(),
    sharedSuspects: new Map(),
    permittedSuspects: new Set(),
    waitingSuspects: new Set(),
    unreportedCrashes: [],
    unreportedClearedSuspects: [],
  };
}

/** Whether new work may be handed out now. */
export function hasViewLease(tables: EntryTables, nowMs: number): boolean {
  return nowMs < tables.viewLeaseEndMs;
}

/**
 * In-memory tables of one entry. The functions in the other files of this
 * folder read and update them.
 */
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
  createPauses,
  createQuarantine,
  createSendRates,
  createStatements,
  ISOLATED_SUSPECT_THRESHOLDS,
  type CacheTable,
  type Candidate,
  type CandidateList,
  type CrashReport,
  type HolderId,
  type LengthHistogram,
  type PauseTable,
  type QuarantineTable,
  type SendRates,
  type StatementTable,
  type SuspectView,
  type TargetView,
} from '@samphirefield/policy';

/** A target: its state as the leader reports it, and this entry's use. */
export interface EntryTarget {
  view: TargetView;
  /** Increases with each start of the target. */
  startNumber: number;
  /** Slots that the leader allocated to this entry. */
  allocatedSlots: number;
  /** KV cache tokens that the leader allocated to this entry. */
  allocatedKvTokens: number;
  /** Runs of this entry that finished on the current incarnation. */
  finishedRuns: number;
  /** Requests sent since the load figures in `view` were received. */
  sentSinceView: number;
  /** The same target in the form that routing decisions read. */
  readonly candidate: Candidate;
}

/** Slots, KV cache tokens and suspects of this entry's runs on one target. */
export interface TargetUsage {
  readonly inUse: number;
  readonly kvInUse: number;
  readonly suspects: number;
}

/** One execution of a request on a target, in progress. */
export interface ActiveRun {
  readonly requestId: RequestId;
  readonly workspace: WorkspaceId;
  readonly service: ServiceId;
  readonly target: TargetId;
  readonly incarnation: string;
  readonly fingerprint: Fingerprint;
  readonly promptParts: readonly Fingerprint[];
  readonly isSuspect: boolean;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  generatedTokens: number;
  /** KV cache tokens that the run holds and is expected to need. */
  kvTokens: number;
}

/** The latest announcement that this entry received from a target. */
export interface LatestAnnouncement {
  announcement: Announcement;
  receivedAtMs: number;
  /** Whether the current leader received it in a heartbeat. */
  isReported: boolean;
}

export interface EntryTables {
  readonly holder: HolderId;
  readonly instance: InstanceId;
  readonly zone: ZoneId;
  config: ConfigView;
  configHash: string;
  rules: RuleSet;
  /** End of the view lease: the configuration is proven newest until then. */
  viewLeaseEndMs: number;
  leaderTerm: number;
  knownTargetsVersion: number;
  knownQuarantineVersion: number;
  readonly targets: Map<TargetId, EntryTarget>;
  readonly latestAnnouncements: Map<TargetId, LatestAnnouncement>;
  readonly activeRuns: Map<RequestId, ActiveRun>;
  readonly usage: Map<TargetId, TargetUsage>;
  /** Built on demand; keyed by service, model and model version. */
  readonly candidateLists: Map<string, CandidateList>;
  readonly histograms: Map<string, LengthHistogram>;
  readonly prefixCache: CacheTable;
  /** Suspects that this entry observed itself. */
  readonly quarantine: QuarantineTable;
  /** What targets stated in their responses. */
  readonly statements: StatementTable;
  readonly pauses: PauseTable;
  readonly sendRates: SendRates;
  /** Suspects that the leader merged from the reports of all entries. */
  sharedSuspects: ReadonlyMap<Fingerprint, SuspectView>;
  /** Waiting suspects that the leader permits this entry to run. */
  permittedSuspects: ReadonlySet<Fingerprint>;
  readonly waitingSuspects: Set<Fingerprint>;
  unreportedCrashes: CrashReport[];
  unreportedClearedSuspects: Fingerprint[];
  /** Quarantined under an earlier leader and not reported to the present one. */
  inheritedQuarantine: Fingerprint[];
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
    quarantine: createQuarantine(ISOLATED_SUSPECT_THRESHOLDS),
    statements: createStatements(),
    pauses: createPauses(),
    sendRates: createSendRates(),
    sharedSuspects: new Map(),
    permittedSuspects: new Set(),
    waitingSuspects: new Set(),
    unreportedCrashes: [],
    unreportedClearedSuspects: [],
    inheritedQuarantine: [],
  };
}

/** Whether the view lease holds, so that new runs may be started. */
export function hasViewLease(tables: EntryTables, nowMs: number): boolean {
  return nowMs < tables.viewLeaseEndMs;
}

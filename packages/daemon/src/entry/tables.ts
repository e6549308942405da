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
  slots: number;
  kvTokens: number;
  finished: number;
  /** Requests sent since the load figures of the view. */
  sentSinceView: number;
  /** The same target as routing decisions read it. */
  readonly candidate: Candidate;
}

/** What this entry has running on one target. */
export interface Usage {
  readonly inUse: number;
  readonly kvInUse: number;
  readonly suspects: number;
}

/** A request in progress on a target. */
export interface StreamRow {
  readonly request: RequestId;
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

export interface HeardTarget {
  announcement: Announcement;
  heardAtMs: number;
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
  readonly heard: Map<TargetId, HeardTarget>;
  readonly streams: Map<RequestId, StreamRow>;
  readonly usage: Map<TargetId, Usage>;
  /** Built on demand, by service and model. */
  readonly candidateLists: Map<string, CandidateList>;
  readonly histograms: Map<string, LengthHistogram>;
  readonly cache: CacheTable;
  /** What this entry saw itself, and what the leader merged from all. */
  readonly quarantine: QuarantineTable;
  sharedSuspects: ReadonlyMap<Fingerprint, SuspectView>;
  suspectTurns: ReadonlySet<Fingerprint>;
  readonly waitingSuspects: Set<Fingerprint>;
  unreportedDeaths: CrashReport[];
  unreportedCleared: Fingerprint[];
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
    heard: new Map(),
    streams: new Map(),
    usage: new Map(),
    candidateLists: new Map(),
    histograms: new Map(),
    cache: createCacheTable(),
    quarantine: createQuarantine(),
    sharedSuspects: new Map(),
    suspectTurns: new Set(),
    waitingSuspects: new Set(),
    unreportedDeaths: [],
    unreportedCleared: [],
  };
}

/** Whether new work may be handed out now. */
export function hasViewLease(tables: EntryTables, nowMs: number): boolean {
  return nowMs < tables.viewLeaseEndMs;
}

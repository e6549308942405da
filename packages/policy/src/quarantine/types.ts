/**
 * Types of the quarantine: what targets were working on when they crashed, and
 * what is refused because it crashes them.
 */
import type {Fingerprint} from '@samphirefield/core';

/** Identifies a target's crash by target and incarnation. */
export type CrashId = string;

/** What a crash may be due to. */
export interface Suspect {
  readonly fingerprint: Fingerprint;
  /**
   * What the fingerprint identifies: a whole request, a request whatever its
   * query and service, or a part of a prompt that different requests share.
   */
  readonly kind: 'request' | 'similar' | 'part';
  /** Position of the part in its prompt, from 0; 0 for others. */
  readonly position: number;
  /** Whether a target lately answered a request with it. */
  readonly wasHealthy: boolean;
}

/** What a request consists of, as far as a crash may be due to it. */
export type RequestTrait = Omit<Suspect, 'wasHealthy'>;

export interface CrashEvidence {
  readonly crash: CrashId;
  /** The suspects of runs that the target had not begun to answer. */
  readonly suspects: readonly Suspect[];
  /** Quarantined suspects that were on trial on the target. */
  readonly failedTrials: readonly Fingerprint[];
  /**
   * Whether the only watched suspect that ran anywhere ran there: it was sent
   * after all earlier crashes, so the crash is no part of their incident.
   */
  readonly wasAlone: boolean;
  /** False if the target only fell silent: it may announce itself again. */
  readonly isCertain: boolean;
}

export interface CrashRow {
  readonly crash: CrashId;
  /** Crashes of one incident count once: a rack takes several targets. */
  readonly incident: number;
  readonly suspects: Map<Fingerprint, Suspect>;
  readonly isCertain: boolean;
  readonly updatedAtMs: number;
}

export interface QuarantineRow {
  readonly fingerprint: Fingerprint;
  readonly kind: Suspect['kind'];
  readonly failedTrials: number;
  readonly updatedAtMs: number;
}

/** In how much a suspect was involved when it is proven the cause. */
export interface CrashThreshold {
  /** Crashes of targets. */
  readonly crashes: number;
  /** Crashes that count once where several belong to one incident. */
  readonly incidents: number;
}

export interface CrashThresholds {
  readonly request: CrashThreshold;
  readonly part: CrashThreshold;
  /** For suspects that were healthy lately. */
  readonly healthyRequest: CrashThreshold;
  readonly healthyPart: CrashThreshold;
}

export interface QuarantineTable {
  readonly thresholds: CrashThresholds;
  readonly crashes: Map<CrashId, CrashRow>;
  readonly quarantined: Map<Fingerprint, QuarantineRow>;
  nextIncident: number;
  /** Incremented by each change, so that entries can request updates only. */
  version: number;
}

/** What entries need to know of the table. */
export interface QuarantineView {
  readonly version: number;
  readonly suspects: readonly Fingerprint[];
  /** Suspects that may run only alone. */
  readonly watched: readonly Fingerprint[];
  readonly quarantined: readonly QuarantinedView[];
}

export interface QuarantinedView {
  readonly fingerprint: Fingerprint;
  readonly failedTrials: number;
}

export type Suspicion = 'clear' | 'suspect' | 'quarantined';

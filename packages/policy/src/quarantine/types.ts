/** Types of the requests that were running when targets crashed. */
import type {Fingerprint} from '@samphirefield/core';

/** Identifies a target's crash by target and incarnation. */
export type CrashId = string;

export interface SuspectRow {
  readonly fingerprint: Fingerprint;
  readonly crashes: ReadonlySet<CrashId>;
  readonly isQuarantined: boolean;
  readonly updatedAtMs: number;
}

export interface QuarantineTable {
  readonly suspects: Map<Fingerprint, SuspectRow>;
  /** Requests that were running on the target at each crash. */
  readonly runningAtCrash: Map<CrashId, Set<Fingerprint>>;
  /** Incremented by each change, so that entries can request updates only. */
  version: number;
}

export type Suspicion = 'clear' | 'suspect' | 'quarantined';

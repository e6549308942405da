/** Requests that were running when targets died. */
import type {Fingerprint} from '@samphirefield/core';

/** A target's death, named by target and incarnation. */
export type CrashId = string;

export interface SuspectRow {
  readonly fingerprint: Fingerprint;
  readonly crashes: ReadonlySet<CrashId>;
  readonly isQuarantined: boolean;
  readonly updatedAtMs: number;
}

export interface QuarantineTable {
  readonly suspects: Map<Fingerprint, SuspectRow>;
  /** Which requests ran on each target that died. */
  readonly runningAtCrash: Map<CrashId, Set<Fingerprint>>;
  /** Raised by each change, so that others can ask for news only. */
  version: number;
}

export type Suspicion = 'clear' | 'suspect' | 'quarantined';

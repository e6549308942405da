/** Types of the gateway's use of the quarantine. */
import type {Fingerprint} from '@samphirefield/core';
import type {CrashId, Suspect} from '@samphirefield/policy/quarantine';

/** What a request consists of, as far as a crash may be due to it. */
export type RequestTrait = Omit<Suspect, 'wasHealthy'>;

export type Admission =
  | {readonly kind: 'clear'}
  /** The request is the trial of the quarantined suspects that it holds. */
  | {readonly kind: 'trial'; readonly suspects: readonly Fingerprint[]}
  | {readonly kind: 'refused'; readonly retryAfterMs: number};

export interface RunCrash {
  readonly crash: CrashId;
  readonly traits: readonly RequestTrait[];
  /** The quarantined suspects that the run was a trial of. */
  readonly trialOf: readonly Fingerprint[];
}

export interface Quarantine {
  /**
   * Undefined if the request may be sent or be a trial; otherwise the time after
   * which it may be.
   */
  refusalMs(traits: readonly RequestTrait[]): number | undefined;
  /** Decides right before a request is sent to a target. */
  admit(traits: readonly RequestTrait[]): Promise<Admission>;
  /** A target crashed before it began to answer the request. */
  recordCrash(crash: RunCrash): void;
  /** A target answered the request, or began to and went on. */
  recordAnswer(traits: readonly RequestTrait[]): void;
}

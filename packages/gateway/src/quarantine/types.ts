/** Types of the gateway's use of the quarantine. */
import type {Fingerprint, ServiceId} from '@samphirefield/core';
import type {
  Admission,
  CrashId,
  RequestTrait,
} from '@samphirefield/policy/quarantine';

export interface RunCrash {
  readonly crash: CrashId;
  readonly traits: readonly RequestTrait[];
  /** The quarantined suspects that the run was a trial of. */
  readonly trialOf: readonly Fingerprint[];
  /** Whether the run was the only one of watched suspects. */
  readonly wasAlone: boolean;
}

/** A request before it is sent to a target. */
export interface Candidate {
  readonly service: ServiceId;
  readonly traits: readonly RequestTrait[];
}

export interface Quarantine {
  /**
   * Undefined if the request may be sent or be a trial; otherwise the time after
   * which it may be.
   */
  refusalMs(traits: readonly RequestTrait[]): number | undefined;
  /** Decides right before a request is sent to a target. */
  admit(candidate: Candidate): Promise<Admission>;
  /** A target crashed before it began to answer the request. */
  recordCrash(crash: RunCrash): void;
  /** A target answered the request, or began to and went on. */
  recordAnswer(traits: readonly RequestTrait[]): void;
  /** A trial or a solo run ended and tells nothing. */
  endRun(suspects: readonly Fingerprint[]): void;
}

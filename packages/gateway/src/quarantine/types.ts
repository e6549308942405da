/** Types of the gateway's use of the quarantine. */
import type {Fingerprint, ServiceId} from '@samphirefield/core';
import type {
  Admission,
  RequestTrait,
  TargetStart,
  UnansweredRun,
} from '@samphirefield/policy/quarantine';

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
  /** A run ended without an answer; its target may have crashed. */
  noteUnanswered(run: Omit<UnansweredRun, 'endedAtMs'>): void;
  /**
   * A start of a target has crashed. It is not certain if the target is only
   * silent.
   */
  recordCrash(start: TargetStart, isCertain: boolean): void;
  /** A target answered the request, or began to and went on. */
  recordAnswer(traits: readonly RequestTrait[]): void;
  /** A trial or a solo run ended and tells nothing. */
  endRun(suspects: readonly Fingerprint[]): void;
}

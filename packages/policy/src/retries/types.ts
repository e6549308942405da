/** Types of failed attempts and of the decision that follows. */

/** Why an attempt to run a request on a target failed. */
export type AttemptFailure =
  /** No byte of the request was sent. */
  | 'not_sent'
  /** The target reported that it did not run the request. */
  | 'refused'
  /** The connection ended or broke; the target may have crashed. */
  | 'lost'
  /** The connection received no data of the stream for too long. */
  | 'silent'
  /** The target responded with an error. */
  | 'failed'
  /** The events were not from one generation, or not in order. */
  | 'broken_sequence';

/** A failed attempt, and what may still be done for its request. */
export interface FailedAttempt {
  readonly failure: AttemptFailure;
  /** Whether the target is an engine, whose generations can be resumed. */
  readonly isEngine: boolean;
  /** Whether the request may run more than once. */
  readonly mayRepeat: boolean;
  /** Whether a part of the response was sent to the caller. */
  readonly hasForwarded: boolean;
  /** Whether a known generation may still be running, and so can be resumed. */
  readonly hasGeneration: boolean;
  readonly resumesLeft: number;
  readonly attemptsLeft: number;
  /** Whether the retry budget permits another attempt. */
  readonly hasBudget: boolean;
}

/** What to do after a failed attempt. */
export type RetryDecision =
  /** Continue the same generation on a new connection. */
  | {readonly kind: 'resume'}
  /** Start again on another target. */
  | {readonly kind: 'try_another'}
  /** Report to the caller that the request did not run. */
  | {readonly kind: 'answer_not_run'}
  /** End the started response with an explicit error. */
  | {readonly kind: 'answer_incomplete'}
  /** Report that the outcome is unknown; the request may not run again. */
  | {readonly kind: 'answer_unknown'}
  /** Forward the target's own error. */
  | {readonly kind: 'answer_failed'};

/** Limits the retries to a share of the requests. */
export interface RetryBudget {
  /** Number of retries available; fractions add up. */
  tokens: number;
}

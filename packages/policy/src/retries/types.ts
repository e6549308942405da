/** What may be done after a try failed. */
export type AttemptFailure =
  /** No byte of the request was sent. */
  | 'not_sent'
  /** The target said that it did not run the request. */
  | 'refused'
  /** The connection ended or broke; the target may be dead. */
  | 'lost'
  /** The stream has been silent for too long on this connection. */
  | 'silent'
  /** The target answered with an error of its own. */
  | 'failed'
  /** The events were not those of one generation in order. */
  | 'broken_sequence';

export interface FailedAttempt {
  readonly failure: AttemptFailure;
  readonly isEngine: boolean;
  readonly mayRepeat: boolean;
  /** Whether the caller has got a part of the answer. */
  readonly hasForwarded: boolean;
  readonly hasGeneration: boolean;
  readonly resumesLeft: number;
  readonly attemptsLeft: number;
  readonly hasBudget: boolean;
}

export type RetryDecision =
  /** Continue the same generation on a new connection. */
  | {readonly kind: 'resume'}
  /** Start anew on another target. */
  | {readonly kind: 'try_another'}
  /** Tell the caller that nothing ran. */
  | {readonly kind: 'answer_not_run'}
  /** End the started answer with an explicit error. */
  | {readonly kind: 'answer_incomplete'}
  /** The outcome of a request that may not be repeated is lost. */
  | {readonly kind: 'answer_unknown'}
  /** Pass the target's own error on. */
  | {readonly kind: 'answer_failed'};

export interface RetryBudget {
  tokens: number;
}

export {
  createRetryBudget,
  decideAfterFailure,
  earnRetry,
  spendRetry,
} from './logic.js';
export type {
  RetryDecision,
  RetryBudget,
  AttemptFailure,
  FailedAttempt,
} from './types.js';

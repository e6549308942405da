export {
  createRetryBudget,
  decideAfterFailure,
  earnRetry,
  spendRetry,
} from './logic.js';
export {canRunInTime, type RepeatedRun} from './repeated-run.js';
export type {
  RetryDecision,
  RetryBudget,
  AttemptFailure,
  FailedAttempt,
} from './types.js';

export {
  createBudget,
  decideAfterFailure,
  earnRetry,
  spendRetry,
} from './logic.js';
export type {
  AfterFailure,
  RetryBudget,
  TryFailure,
  TrySituation,
} from './types.js';

/**
 * Decides what follows a failed attempt. A response never mixes two generations,
 * a request that may not be repeated never runs twice, and a budget prevents
 * retry storms.
 */
import type {RetryDecision, RetryBudget, FailedAttempt} from './types.js';

/** Retries that each first attempt adds to the budget, and its maximum. */
const RETRIES_PER_REQUEST = 0.2;
const MAX_RETRY_TOKENS = 20;

/** Creates a full budget. */
export function createRetryBudget(): RetryBudget {
  return {tokens: MAX_RETRY_TOKENS};
}

/** Adds the share of one first attempt to the budget. */
export function earnRetry(budget: RetryBudget): void {
  budget.tokens = Math.min(
    MAX_RETRY_TOKENS,
    budget.tokens + RETRIES_PER_REQUEST,
  );
}

/** Spends one retry. Returns false when none remains. */
export function spendRetry(budget: RetryBudget): boolean {
  if (budget.tokens < 1) return false;
  budget.tokens -= 1;
  return true;
}

/** Whether it is certain that the request did not run. */
function didNotRun(attempt: FailedAttempt): boolean {
  return attempt.failure === 'not_sent' || attempt.failure === 'refused';
}

/** Returns what to do after a failed attempt. */
export function decideAfterFailure(attempt: FailedAttempt): RetryDecision {
  const canRetry = attempt.attemptsLeft > 0 && attempt.hasBudget;
  if (didNotRun(attempt)) {
    return {kind: canRetry ? 'try_another' : 'answer_not_run'};
  }
  if (!attempt.mayRepeat) {
    const hasErrorResponse = attempt.failure === 'failed';
    return {kind: hasErrorResponse ? 'answer_failed' : 'answer_unknown'};
  }
  const isConnectionFailure =
    attempt.failure === 'silent' || attempt.failure === 'lost';
  const canResume = attempt.hasGeneration && attempt.resumesLeft > 0;
  if (attempt.isEngine && isConnectionFailure && canResume)
    return {kind: 'resume'};
  if (attempt.failure === 'failed' && !attempt.hasForwarded) {
    return {kind: 'answer_failed'};
  }
  if (attempt.hasForwarded) return {kind: 'answer_incomplete'};
  return {kind: canRetry ? 'try_another' : 'answer_incomplete'};
}

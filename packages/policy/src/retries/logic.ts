/**
 * Decides what follows a failed try: never two generations in one answer,
 * never a second run of what may not be repeated, never a storm of retries.
 */
import type {RetryDecision, RetryBudget, FailedAttempt} from './types.js';

/** Retries earned by each first try, and the most that are saved up. */
const EARNED_PER_REQUEST = 0.2;
const MAX_SAVED = 20;

export function createRetryBudget(): RetryBudget {
  return {tokens: MAX_SAVED};
}

export function earnRetry(budget: RetryBudget): void {
  budget.tokens = Math.min(MAX_SAVED, budget.tokens + EARNED_PER_REQUEST);
}

/** Spends one retry; false when none is left. */
export function spendRetry(budget: RetryBudget): boolean {
  if (budget.tokens < 1) return false;
  budget.tokens -= 1;
  return true;
}

/** Whether the request certainly did not run. */
function didNotRun(situation: FailedAttempt): boolean {
  return situation.failure === 'not_sent' || situation.failure === 'refused';
}

export function decideAfterFailure(situation: FailedAttempt): RetryDecision {
  const canTryAnother = situation.attemptsLeft > 0 && situation.hasBudget;
  if (didNotRun(situation)) {
    return {kind: canTryAnother ? 'try_another' : 'answer_not_run'};
  }
  if (!situation.mayRepeat) {
    const isAnswered = situation.failure === 'failed';
    return {kind: isAnswered ? 'answer_failed' : 'answer_unknown'};
  }
  const isLinkFault =
    situation.failure === 'silent' || situation.failure === 'lost';
  const canResume = situation.hasGeneration && situation.resumesLeft > 0;
  if (situation.isEngine && isLinkFault && canResume) return {kind: 'resume'};
  if (situation.failure === 'failed' && !situation.hasForwarded) {
    return {kind: 'answer_failed'};
  }
  if (situation.hasForwarded) return {kind: 'answer_incomplete'};
  return {kind: canTryAnother ? 'try_another' : 'answer_incomplete'};
}

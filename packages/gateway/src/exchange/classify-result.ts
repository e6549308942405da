/**
 * Decides from the result of an attempt how the run counts for its target and
 * what happens next to the request.
 */
import type {RunOutcome} from '../dispatch/index.js';
import {mayRepeat, type Route} from '../routes/index.js';
import type {ResponseSink} from './response-sink.js';
import type {AttemptResult} from './target-attempt.js';
import type {LocalResponse} from './types.js';

/** `room`: targets may be reachable and cannot take the request now. */
export type PlaceLack = 'target' | 'room';

/** What happens next to a request. */
export type NextStep =
  /** The caller has the complete response of a target. */
  | {readonly kind: 'done'; readonly status: number}
  /** The gateway responds itself. */
  | {
      readonly kind: 'own';
      readonly response: LocalResponse;
      /** What no target was reserved for; undefined: that is not the reason. */
      readonly lacks?: PlaceLack;
    }
  | {
      readonly kind: 'retry';
      /** The gateway's response if there is no further attempt. */
      readonly responseIfFinal: LocalResponse;
      /** A target's failure response, sent if no later attempt succeeds. */
      readonly failureResponse?: ResponseSink;
      /** A started stream, which the next attempt continues. */
      readonly startedSink?: ResponseSink;
      /** Whether the next attempt consumes a retry of the budget. */
      readonly usesRetryBudget: boolean;
    }
  /** The caller's connection is closed, its response being incomplete. */
  | {readonly kind: 'broken_off'};

export interface Classification {
  readonly outcome: RunOutcome;
  readonly step: NextStep;
}

function retry(
  responseIfFinal: LocalResponse,
): Extract<NextStep, {kind: 'retry'}> {
  return {kind: 'retry', responseIfFinal, usesRetryBudget: true};
}

/**
 * Classifies the result of an attempt. `runCount` counts the targets that may
 * have run the request, including this attempt's target.
 */
export function classifyResult(
  result: AttemptResult,
  route: Route,
  runCount: number,
): Classification {
  const mayRunAgain = mayRepeat(route) && runCount < route.maxRuns;
  switch (result.kind) {
    case 'passed_on':
      return {outcome: 'served', step: {kind: 'done', status: result.status}};
    case 'not_run': {
      const reason = result.isMisdirected
        ? 'another target uses the address'
        : 'the target rejected the request';
      return {outcome: 'rejected', step: retry({kind: 'not_run', reason})};
    }
    case 'failed': {
      const reason = `the target responded with status ${result.status}`;
      if (mayRunAgain) {
        const responseIfFinal: LocalResponse = {
          kind: 'outcome_unknown',
          reason,
        };
        const step: NextStep = {
          ...retry(responseIfFinal),
          failureResponse: result.sink,
        };
        return {outcome: 'failure_response', step};
      }
      result.sink.end();
      const step: NextStep = {kind: 'done', status: result.status};
      return {outcome: 'failure_response', step};
    }
    case 'lost': {
      const {error, startedSink, answer: outcome = 'failed'} = result;
      const response: LocalResponse = {
        kind: 'outcome_unknown',
        reason: error.reason,
      };
      if (startedSink) {
        const mayResume =
          route.isResumable && mayRunAgain && startedSink.canResume;
        const step: NextStep = mayResume
          ? {...retry(response), startedSink}
          : {kind: 'broken_off'};
        return {outcome, step};
      }
      const step: NextStep = mayRunAgain
        ? retry(response)
        : {kind: 'own', response};
      return {outcome, step};
    }
    case 'ended':
      return {outcome: 'abandoned', step: {kind: 'broken_off'}};
  }
}

/** Whether a target may have run the request. */
export function mayHaveRun(result: AttemptResult): boolean {
  return result.kind === 'failed' || result.kind === 'lost';
}

/** What the end of a sending means for its target and for the request. */
import type {RunOutcome} from '../dispatch/index.js';
import {KIND_TRAITS, type Route} from '../routes/index.js';
import type {ResponseSink} from './response-sink.js';
import type {AttemptResult} from './target-attempt.js';
import type {LocalResponse} from './types.js';

/** What to do next with a request. */
export type NextStep =
  | {readonly kind: 'done'; readonly status: number}
  | {readonly kind: 'own'; readonly response: LocalResponse}
  | {
      readonly kind: 'retry';
      /** The answer if it is not sent again. */
      readonly responseIfFinal: LocalResponse;
      /** A target's own failure, which goes out if no better answer comes. */
      readonly failureResponse?: ResponseSink;
      /** Whether sending it again draws on the retry budget. */
      readonly usesRetryBudget: boolean;
    }
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

/** `runs` counts the targets that may have run it, this one included. */
export function classifyResult(
  result: AttemptResult,
  route: Route,
  runCount: number,
): Classification {
  const mayRunAgain =
    KIND_TRAITS[route.kind].mayRepeat && runCount < route.maxRuns;
  switch (result.kind) {
    case 'passed_on':
      return {outcome: 'served', step: {kind: 'done', status: result.status}};
    case 'not_run': {
      const reason = result.isMisdirected
        ? 'another target has the address'
        : 'the target rejected it';
      return {outcome: 'rejected', step: retry({kind: 'not_run', reason})};
    }
    case 'failed': {
      const reason = `the target answered ${result.status}`;
      if (mayRunAgain) {
        const responseIfFinal: LocalResponse = {
          kind: 'outcome_unknown',
          reason,
        };
        const step: NextStep = {
          ...retry(responseIfFinal),
          failureResponse: result.sink,
        };
        return {outcome: 'failed', step};
      }
      result.sink.end();
      return {outcome: 'failed', step: {kind: 'done', status: result.status}};
    }
    case 'lost': {
      if (result.hasStarted) {
        return {outcome: 'failed', step: {kind: 'broken_off'}};
      }
      const response: LocalResponse = {
        kind: 'outcome_unknown',
        reason: result.error.reason,
      };
      const step: NextStep = mayRunAgain
        ? retry(response)
        : {kind: 'own', response};
      return {outcome: 'failed', step};
    }
    case 'ended':
      return {outcome: 'abandoned', step: {kind: 'broken_off'}};
  }
}

/** Whether a target may have run the request. */
export function mayHaveRun(result: AttemptResult): boolean {
  return result.kind === 'failed' || result.kind === 'lost';
}

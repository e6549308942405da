/**
 * The end of a run on its way to the leader. Earlier builds know neither a
 * complete failure response nor a place that was not used: they read both as the
 * outcomes in which the target may still run the request.
 */
import type {RequestId} from '@samphirefield/core';
import type {RunOutcome} from '@samphirefield/gateway';
import type {FinishMessage} from './messages.js';

export function toFinishMessage(
  request: RequestId,
  outcome: RunOutcome,
): FinishMessage {
  switch (outcome) {
    case 'failure_response':
      return {request, outcome: 'failed', isOver: true};
    case 'not_sent':
      return {request, outcome: 'abandoned', isOver: true};
    default:
      return {request, outcome};
  }
}

export function outcomeOf({outcome, isOver}: FinishMessage): RunOutcome {
  if (isOver && outcome === 'failed') return 'failure_response';
  if (isOver && outcome === 'abandoned') return 'not_sent';
  return outcome as RunOutcome;
}

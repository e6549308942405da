/** Validates operators' commands before they are proposed to the log. */
import type {ControlStateMachine} from '@samphirefield/control';
import {formatRuleError, parseRules} from '@samphirefield/core';
import type {OperatorRequest} from '../rpc/index.js';
import type {Leadership} from './leadership.js';
import {seenTargets, seenZones} from './status.js';
import type {OperatorOutcome} from './types.js';

/** Returns undefined for a command that may be proposed, and for any resend. */
export function validateChange(
  leadership: Leadership,
  stateMachine: ControlStateMachine,
  request: OperatorRequest,
): OperatorOutcome | undefined {
  const {change, commandId, isUnseenAllowed} = request;
  if (stateMachine.tables.operatorResults.has(commandId)) return undefined;
  if (change.kind === 'apply_rules') return validateRules(change.text);
  if (isUnseenAllowed || !change.isOut) return undefined;
  const isZone = change.kind === 'zone';
  const seen: readonly string[] = isZone
    ? seenZones(leadership, stateMachine)
    : seenTargets(leadership);
  const name = isZone ? change.zone : change.target;
  if (seen.includes(name)) return undefined;
  return {kind: 'unseen', what: `${change.kind} ${name}`, seen};
}

function validateRules(text: string): OperatorOutcome | undefined {
  const rules = parseRules(text);
  if (rules.isOk()) return undefined;
  const errors = rules.error.map(error => formatRuleError('rules', error));
  return {kind: 'invalid_rules', errors};
}

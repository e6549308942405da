/**
 * Sends one change and reports its result. Unless `--no-wait` is given, it first
 * waits until the change is active everywhere.
 */
import {setTimeout as delay} from 'node:timers/promises';
import type {
  ChangeSummary,
  ClusterStatus,
  OperatorResult,
  OperatorChange,
} from '@samphirefield/control';
import {EXIT, print, type ExitCode} from '../output/index.js';
import {reportClientError, type CommandContext} from './context.js';

const ACTIVATION_TIMEOUT_MS = 15_000;
const POLL_INTERVAL_MS = 200;

type Outcome =
  | {readonly kind: 'answered'; readonly answer: OperatorResult}
  | {readonly kind: 'invalid_rules'; readonly errors: readonly string[]}
  | {
      readonly kind: 'unseen';
      readonly what: string;
      readonly seen: readonly string[];
    }
  | {readonly kind: 'invalid'; readonly message: string};

export interface ChangeRequest {
  readonly change: OperatorChange;
  readonly baseRevision: number;
  readonly isUnseenAllowed: boolean;
}

export async function sendChange(
  context: CommandContext,
  request: ChangeRequest,
): Promise<ExitCode> {
  const {client, output, operator, commandId} = context;
  if (!output.isJson)
    output.line(
      `command ${commandId}, based on revision ${request.baseRevision}`,
    );
  const response = await client.post('/operator/command', {
    commandId,
    operator,
    ...request,
  });
  if (response.isErr()) {
    output.error(
      `resend with --command-id ${commandId} --base-revision ${request.baseRevision}: the command is applied at most once`,
    );
    return reportClientError(output, response.error);
  }
  const outcome = response.value.body as Outcome;
  if (outcome.kind !== 'answered') return reportRejection(context, outcome);
  return reportResult(context, outcome.answer);
}

function reportRejection(
  context: CommandContext,
  outcome: Exclude<Outcome, {kind: 'answered'}>,
): ExitCode {
  const {output} = context;
  if (output.isJson) output.line(JSON.stringify(outcome));
  else if (outcome.kind === 'invalid_rules')
    outcome.errors.forEach(output.error);
  else if (outcome.kind === 'unseen') {
    output.error(
      `${outcome.what} is unknown; known names: ${outcome.seen.join(', ') || 'none'}`,
    );
    output.error('use --unseen to allow an unknown name');
  } else output.error(outcome.message);
  return EXIT.badInput;
}

function describeChange(change: ChangeSummary): string {
  const at = new Date(change.acceptedAtMs).toISOString();
  return `  revision ${change.revision}, ${at}, by ${change.operator}: ${change.description}`;
}

async function reportResult(
  context: CommandContext,
  result: OperatorResult,
): Promise<ExitCode> {
  const {output} = context;
  switch (result.kind) {
    case 'conflict':
      print(output, result, () => [
        `not applied: revision ${result.baseRevision} is no longer current, revision ${result.revision} is; changes since then:`,
        ...result.changesSince.map(describeChange),
      ]);
      return EXIT.conflict;
    case 'unchanged':
      print(output, result, () => [
        `nothing to change; revision ${result.revision} is active`,
      ]);
      return EXIT.done;
    case 'accepted': {
      if (!context.waitsUntilActive) {
        print(output, result, () => [
          `accepted as revision ${result.revision}: ${result.description}`,
        ]);
        return EXIT.done;
      }
      const isInForce = await waitUntilActive(context, result.revision);
      const state = isInForce
        ? 'active everywhere'
        : 'accepted, not yet confirmed everywhere';
      print(output, {...result, isInForce}, () => [
        `revision ${result.revision}: ${result.description}: ${state}`,
      ]);
      return isInForce ? EXIT.done : EXIT.notYetActive;
    }
  }
}

async function waitUntilActive(
  context: CommandContext,
  revision: number,
): Promise<boolean> {
  const deadlineMs = Date.now() + ACTIVATION_TIMEOUT_MS;
  while (Date.now() < deadlineMs) {
    const response = await context.client.get('/operator/status');
    const status = response.isOk()
      ? (response.value.body as ClusterStatus)
      : undefined;
    if (status && status.revision >= revision && status.isInForce) return true;
    await delay(POLL_INTERVAL_MS);
  }
  return false;
}

/**
 * Reads the active rules and the revision that a change is based on: the one
 * that the operator gave, or else the active one.
 */
export async function readBaseConfig(context: CommandContext) {
  const config = await context.client.get('/operator/config');
  return config.map(response => {
    const view = response.body as {
      readonly revision: number;
      readonly rulesText: string;
    };
    return {view, baseRevision: context.baseRevision ?? view.revision};
  });
}

/** Sends one change and tells how it went, down to "in force everywhere". */
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
const POLL_MS = 200;

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
    output.line(`command ${commandId}, from revision ${request.baseRevision}`);
  const answer = await client.post('/operator/command', {
    commandId,
    operator,
    ...request,
  });
  if (answer.isErr()) {
    output.error(
      `resend with --command-id ${commandId} --base-revision ${request.baseRevision}: it is carried out at most once`,
    );
    return reportClientError(output, answer.error);
  }
  const outcome = answer.value.body as Outcome;
  if (outcome.kind !== 'answered') return reportRefusal(context, outcome);
  return reportResult(context, outcome.answer);
}

function reportRefusal(
  context: CommandContext,
  outcome: Exclude<Outcome, {kind: 'answered'}>,
): ExitCode {
  const {output} = context;
  if (output.isJson) output.line(JSON.stringify(outcome));
  else if (outcome.kind === 'invalid_rules')
    outcome.errors.forEach(output.error);
  else if (outcome.kind === 'unseen') {
    output.error(
      `${outcome.what} is not known; known are: ${outcome.seen.join(', ') || 'none'}`,
    );
    output.error('use --unseen to name it all the same');
  } else output.error(outcome.message);
  return EXIT.badInput;
}

function describeChange(change: ChangeSummary): string {
  const at = new Date(change.acceptedAtMs).toISOString();
  return `  revision ${change.revision}, ${at}, by ${change.operator}: ${change.description}`;
}

async function reportResult(
  context: CommandContext,
  answer: OperatorResult,
): Promise<ExitCode> {
  const {output} = context;
  switch (answer.kind) {
    case 'conflict':
      print(output, answer, () => [
        `not applied: revision ${answer.baseRevision} is no longer current, ${answer.revision} is; since then:`,
        ...answer.changesSince.map(describeChange),
      ]);
      return EXIT.conflict;
    case 'unchanged':
      print(output, answer, () => [
        `nothing to change; revision ${answer.revision} is in force`,
      ]);
      return EXIT.done;
    case 'accepted': {
      if (!context.waitsUntilActive) {
        print(output, answer, () => [
          `accepted as revision ${answer.revision}: ${answer.description}`,
        ]);
        return EXIT.done;
      }
      const isInForce = await waitUntilActive(context, answer.revision);
      const state = isInForce
        ? 'in force everywhere'
        : 'accepted, not yet confirmed everywhere';
      print(output, {...answer, isInForce}, () => [
        `revision ${answer.revision}: ${answer.description}: ${state}`,
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
    const answer = await context.client.get('/operator/status');
    const status = answer.isOk()
      ? (answer.value.body as ClusterStatus)
      : undefined;
    if (status && status.revision >= revision && status.isInForce) return true;
    await delay(POLL_MS);
  }
  return false;
}

/** The revision to change from: the operator's own, or the one now in force. */
export async function readBaseConfig(context: CommandContext) {
  const config = await context.client.get('/operator/config');
  return config.map(answer => {
    const view = answer.body as {
      readonly revision: number;
      readonly rulesText: string;
    };
    return {view, baseRevision: context.baseRevision ?? view.revision};
  });
}

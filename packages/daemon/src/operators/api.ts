/** The operators' API on the internal listener; forwards calls to the leader. */
import {secretsEqual, type Logger} from '@samphirefield/core';
import type {Context} from 'hono';
import type {HttpBindings} from '@hono/node-server';
import type {Clock} from '../clock/index.js';
import type {ControlClient} from '../entry/index.js';
import {NO_MEMORY, readBody, type App} from '../http/index.js';
import {operatorCommandSchema} from '../rpc/index.js';
import type {
  ConfigResponse,
  OperatorOutcome,
  StatusResponse,
} from '../voter/index.js';
import type {BootstrapGroup} from './bootstrap.js';

const MAX_COMMAND_BYTES = 8_388_608;
const CALL_DEADLINE_MS = 8_000;

export interface OperatorApiOptions {
  readonly key: string;
  readonly control: ControlClient;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly bootstrap: BootstrapGroup;
}

type OperatorContext = Context<{Bindings: HttpBindings}>;

const NO_LEADER = {
  kind: 'no_leader',
  message:
    'no leader answered; the command may still be carried out: send it again with the same id',
} as const;

export function mountOperatorApi(app: App, options: OperatorApiOptions): void {
  const {key, control, clock, bootstrap} = options;
  const deadline = () => clock.nowMs() + CALL_DEADLINE_MS;
  app.use('/operator/*', async (context, next) => {
    const presented = context.req.header('authorization') ?? '';
    if (!secretsEqual(presented, `Bearer ${key}`)) {
      return context.json({kind: 'unauthorized'}, 401);
    }
    await next();
    return undefined;
  });
  app.get('/operator/status', async context => {
    const response = await control.callLeader<StatusResponse>(
      'operator.status',
      {},
      deadline(),
    );
    return response.isOk()
      ? context.json(response.value.status)
      : context.json(NO_LEADER, 503);
  });
  app.get('/operator/config', async context => {
    const response = await control.callLeader<ConfigResponse>(
      'operator.config',
      {},
      deadline(),
    );
    return response.isOk()
      ? context.json(response.value.view)
      : context.json(NO_LEADER, 503);
  });
  app.post('/operator/bootstrap', async context => {
    const response = await bootstrap();
    return context.json(response, response.kind === 'ok' ? 200 : 409);
  });
  app.post('/operator/command', context =>
    handleCommand(context, options, deadline()),
  );
}

async function handleCommand(
  context: OperatorContext,
  options: OperatorApiOptions,
  deadlineMs: number,
) {
  const body = await readBody(context.env.incoming, MAX_COMMAND_BYTES);
  if (body.isErr()) {
    if (body.error.kind === 'no_memory')
      return context.json({kind: 'no_memory', message: NO_MEMORY.message}, 503);
    return body.error.kind === 'too_large'
      ? context.json({kind: 'invalid', message: 'the body is too large'}, 413)
      : context.json({kind: 'invalid', message: 'the body was cut off'}, 400);
  }
  let value: unknown;
  try {
    value = JSON.parse(body.value.toString('utf8'));
  } catch {
    return context.json(
      {kind: 'invalid', message: 'the body is not JSON'},
      400,
    );
  }
  const parsed = operatorCommandSchema.safeParse(value);
  if (!parsed.success) {
    const issue = parsed.error.issues[0];
    return context.json(
      {kind: 'invalid', message: `${issue?.path.join('.')}: ${issue?.message}`},
      400,
    );
  }
  const response = await options.control.callLeader<OperatorOutcome>(
    'operator.command',
    parsed.data,
    deadlineMs,
  );
  if (response.isErr()) return context.json(NO_LEADER, 503);
  return context.json(response.value, statusOf(response.value));
}

function statusOf(outcome: OperatorOutcome): 200 | 400 | 409 | 503 {
  if (outcome.kind === 'unknown_outcome') return 503;
  if (outcome.kind === 'answered')
    return outcome.answer.kind === 'conflict' ? 409 : 200;
  return 400;
}

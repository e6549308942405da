/** The OpenAI-compatible routes on the callers' listener. */
import {RESPONSE_ALREADY_SENT} from '@hono/node-server/utils/response';
import {
  DRAINING,
  notRun,
  NO_MEMORY,
  readBody,
  sendError,
  type App,
} from '../http/index.js';
import {authenticate} from '../callers/index.js';
import {parseGenerationRequest} from './parse-request.js';
import {resumeGeneration} from './resume-generation.js';
import {verifyResumeToken} from './resume-token.js';
import {runGeneration, type GenerationDeps} from './run-generation.js';
import {StreamSink} from './stream-sink.js';
import {BufferedSink} from './buffered-sink.js';
import type {ServerResponse} from 'node:http';
import type {GenerationRequest} from './types.js';

export interface GenerationApiOptions {
  readonly deps: GenerationDeps;
  readonly tokenKey: string;
  readonly maxBodyBytes: number;
  readonly maxBufferedBytes: number;
}

const COMPLETION_PATHS = ['/v1/chat/completions', '/v1/completions'];

/** Returns a signal that aborts when the caller disconnects early. */
function disconnectSignal(response: ServerResponse): AbortSignal {
  const controller = new AbortController();
  response.once('close', () => {
    if (!response.writableFinished) controller.abort();
  });
  return controller.signal;
}

export function mountGenerationApi(
  app: App,
  options: GenerationApiOptions,
): void {
  for (const path of COMPLETION_PATHS) {
    app.post(path, async context => {
      const {incoming, outgoing} = context.env;
      const response = outgoing as ServerResponse;
      await handleGeneration(options, path, {
        authorization: context.req.header('authorization'),
        lastEventId: context.req.header('last-event-id'),
        readBody: () => readBody(incoming, options.maxBodyBytes),
        response,
      });
      return RESPONSE_ALREADY_SENT;
    });
  }
  app.get('/v1/models', context => {
    const {rules} = options.deps.tables;
    const workspace = authenticate(rules, context.req.header('authorization'));
    if (workspace.isErr()) {
      const {status, code, message} = workspace.error;
      return context.json(
        {error: {message, type: 'authentication_error', param: null, code}},
        status as 401,
      );
    }
    const data = [...rules.models.values()].map(rule => ({
      id: rule.model,
      object: 'model',
      owned_by: rule.service,
    }));
    return context.json({object: 'list', data});
  });
}

interface IncomingCall {
  readonly authorization: string | undefined;
  readonly lastEventId: string | undefined;
  readonly readBody: () => ReturnType<typeof readBody>;
  readonly response: ServerResponse;
}

async function handleGeneration(
  options: GenerationApiOptions,
  path: string,
  call: IncomingCall,
): Promise<void> {
  const {deps} = options;
  const {response} = call;
  if (deps.isDraining()) {
    sendError(response, DRAINING);
    return;
  }
  const startedAtMs = deps.clock.nowMs();
  const workspace = authenticate(deps.tables.rules, call.authorization);
  if (workspace.isErr()) {
    sendError(response, workspace.error);
    return;
  }
  const body = await call.readBody();
  if (body.isErr()) {
    if (body.error.kind === 'no_memory') {
      response.shouldKeepAlive = false;
      sendError(response, NO_MEMORY);
    }
    if (body.error.kind === 'too_large') {
      sendError(
        response,
        notRun(
          413,
          'body_too_large',
          `the body exceeds ${options.maxBodyBytes} bytes`,
        ),
      );
    }
    return;
  }
  const text = body.value.toString('utf8');
  const parsed = parseGenerationRequest(
    deps.tables.rules,
    workspace.value,
    path,
    text,
  );
  if (parsed.isErr()) {
    sendError(response, parsed.error);
    return;
  }
  const request = parsed.value;
  response.once('finish', () => {
    deps.metrics.requests.inc({
      service: request.service.service,
      status: response.statusCode,
    });
  });
  observeFirstByte(options, request, response, startedAtMs);
  if (call.lastEventId === undefined) {
    await runGeneration(
      deps,
      request,
      createSink(options, request, response),
      disconnectSignal(response),
    );
    return;
  }
  await handleResume(options, request, call.lastEventId, response);
}

function observeFirstByte(
  options: GenerationApiOptions,
  request: GenerationRequest,
  response: ServerResponse,
  startedAtMs: number,
): void {
  const {deps} = options;
  const writeHead = response.writeHead.bind(response) as (
    ...args: unknown[]
  ) => ServerResponse;
  response.writeHead = ((...args: unknown[]) => {
    const seconds = (deps.clock.nowMs() - startedAtMs) / 1_000;
    deps.metrics.firstByte.observe({service: request.service.service}, seconds);
    return writeHead(...args);
  }) as typeof response.writeHead;
}

function createSink(
  options: GenerationApiOptions,
  request: GenerationRequest,
  response: ServerResponse,
) {
  const headers = {'x-request-id': request.id};
  if (!request.isStreamed)
    return new BufferedSink(response, request.isChat, headers);
  return new StreamSink(
    response,
    options.tokenKey,
    options.maxBufferedBytes,
    headers,
  );
}

async function handleResume(
  options: GenerationApiOptions,
  request: GenerationRequest,
  token: string,
  response: ServerResponse,
): Promise<void> {
  const point = verifyResumeToken(options.tokenKey, token);
  const isSameWorkspace =
    point?.location.workspace === request.workspace.workspace;
  if (point === undefined || !isSameWorkspace || !request.isStreamed) {
    sendError(
      response,
      notRun(
        400,
        'invalid_resume_token',
        'Last-Event-ID is not a resume token of a stream of this workspace',
      ),
    );
    return;
  }
  const sink = createSink(options, request, response);
  await resumeGeneration(
    options.deps,
    request.id,
    point,
    sink,
    disconnectSignal(response),
  );
}

/** Routes calls to plain services by their path. */
import {randomUUID} from 'node:crypto';
import type {ServerResponse} from 'node:http';
import {RESPONSE_ALREADY_SENT} from '@hono/node-server/utils/response';
import {ok} from 'neverthrow';
import {isNonRepeatable, plainServiceFor, requestId} from '@samphirefield/core';
import {authenticate} from '../callers/index.js';
import type {GenerationDeps} from '../generations/index.js';
import {
  DRAINING,
  notRun,
  NO_MEMORY,
  readBody,
  sendError,
  type App,
} from '../http/index.js';
import {callPlain} from './call-plain.js';
import {fingerprintsOf} from './fingerprints.js';
import type {LedgerClient} from './ledger-client.js';
import {callAtMostOnce} from './at-most-once.js';
import type {PlainResponse, PlainRequest} from './types.js';

export interface PlainApiOptions {
  readonly deps: GenerationDeps;
  readonly ledger: LedgerClient;
  readonly maxBodyBytes: number;
  readonly maxStoredBytes: number;
}

const IDEMPOTENCY_KEY = /^[\x21-\x7e]{1,255}$/;
const FORWARDED_HEADERS = [
  'content-type',
  'accept',
  'accept-language',
  'idempotency-key',
];

export function mountPlainApi(app: App, options: PlainApiOptions): void {
  app.all('*', async context => {
    const {incoming, outgoing} = context.env;
    const response = outgoing as ServerResponse;
    const {method, url = '/'} = incoming;
    const headers = new Map<string, string>();
    for (const name of FORWARDED_HEADERS) {
      const value = context.req.header(name);
      if (value !== undefined) headers.set(name, value);
    }
    await handleCall(options, {
      method: method ?? 'GET',
      url,
      headers,
      authorization: context.req.header('authorization'),
      readBody: () => readBody(incoming, options.maxBodyBytes),
      response,
    });
    return RESPONSE_ALREADY_SENT;
  });
}

interface IncomingCall {
  readonly method: string;
  readonly url: string;
  readonly headers: ReadonlyMap<string, string>;
  readonly authorization: string | undefined;
  readonly readBody: () => ReturnType<typeof readBody>;
  readonly response: ServerResponse;
}

async function handleCall(
  options: PlainApiOptions,
  call: IncomingCall,
): Promise<void> {
  const {deps} = options;
  const {rules} = deps.tables;
  const {response, method, url} = call;
  if (deps.isDraining()) return sendError(response, DRAINING);
  const path = url.split('?')[0]!;
  const workspace = authenticate(rules, call.authorization);
  if (workspace.isErr()) return sendError(response, workspace.error);
  const service = plainServiceFor(rules, path);
  if (service === undefined) {
    return sendError(
      response,
      notRun(404, 'not_found', 'no service has this path'),
    );
  }
  const isAtMostOnce = isNonRepeatable(rules, service.service, method, path);
  const key = call.headers.get('idempotency-key');
  if (isAtMostOnce && !IDEMPOTENCY_KEY.test(key ?? '')) {
    return sendError(
      response,
      notRun(
        400,
        'idempotency_key_required',
        'this call must run at most once: send an Idempotency-Key of 1 to 255 visible ASCII characters',
      ),
    );
  }
  const body = await call.readBody();
  if (body.isErr()) {
    if (body.error.kind === 'cut_off') return;
    if (body.error.kind === 'no_memory') {
      response.shouldKeepAlive = false;
      return sendError(response, NO_MEMORY);
    }
    return sendError(
      response,
      notRun(
        413,
        'body_too_large',
        `the body exceeds ${options.maxBodyBytes} bytes`,
      ),
    );
  }
  const request: PlainRequest = {
    id: requestId(randomUUID()),
    workspace: workspace.value,
    service,
    method,
    path: url,
    headers: Object.fromEntries(call.headers),
    body: body.value,
    ...fingerprintsOf(method, url, body.value),
    idempotencyKey: isAtMostOnce ? key : undefined,
  };
  await runRequest(options, request, response);
}

async function runRequest(
  options: PlainApiOptions,
  request: PlainRequest,
  response: ServerResponse,
): Promise<void> {
  const {deps} = options;
  const disconnected = new AbortController();
  response.once('close', () => {
    if (!response.writableFinished) disconnected.abort();
  });
  const result =
    request.idempotencyKey === undefined
      ? await callPlain(
          deps,
          request,
          {
            mayRepeat: true,
            mayStart: () => true,
            beforeSend: () => Promise.resolve(ok(undefined)),
          },
          disconnected.signal,
        )
      : await callAtMostOnce(options, request, disconnected.signal);
  response.once('finish', () => {
    deps.metrics.requests.inc({
      service: request.service.service,
      status: response.statusCode,
    });
  });
  const headers = {'x-request-id': request.id};
  if (result.isErr()) sendError(response, result.error, headers);
  else sendResponse(response, result.value, headers);
}

function sendResponse(
  response: ServerResponse,
  result: PlainResponse,
  headers: Readonly<Record<string, string>>,
): void {
  if (response.destroyed) return;
  response.writeHead(result.status, {
    'content-type': result.contentType,
    'content-length': result.body.length,
    ...headers,
  });
  response.end(result.body);
}

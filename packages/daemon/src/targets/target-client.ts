/** Requests to targets: generations, resumes, cancels, plain calls, orders, probes. */
import type {IncomingHttpHeaders} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import {Pool, type Dispatcher} from 'undici';
import type {GenerationId, TargetId} from '@samphirefield/core';
import {readFully, TargetStream, type CallFailure} from './target-stream.js';

export interface TargetAddress {
  readonly target: TargetId;
  readonly incarnation: string;
  readonly address: string;
  readonly port: number;
}

export type TargetError =
  /** No byte of the request was sent. */
  | {readonly kind: 'not_sent'; readonly reason: string}
  /** The target's response states that it did not run the request. */
  | {readonly kind: 'refused'; readonly reason: string}
  /**
   * The connection broke or stayed silent after bytes had been sent, or the
   * response is invalid. `hasResponded`: whether the target sent a head.
   */
  | {
      readonly kind: 'lost';
      readonly reason: string;
      readonly hasResponded: boolean;
    }
  /** The target responded with an error. */
  | {readonly kind: 'failed'; readonly status: number; readonly body: string};

export interface TargetResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: TargetStream;
}

export interface TargetCall {
  readonly method: Dispatcher.HttpMethod;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string | Buffer | undefined;
  readonly mayStart: () => boolean;
  readonly firstByteTimeoutMs: number;
  readonly signal: AbortSignal;
}

const KEEP_ALIVE_MS = 4_000;
const PROBE_TIMEOUT_MS = 800;
const MAX_ERROR_BYTES = 65_536;
export const INCARNATION_HEADER = 'x-samphirefield-incarnation';

interface PoolPair {
  readonly reused: Pool;
  /** Opens a connection for each call: an idle one may have gone silent. */
  readonly fresh: Pool;
}

function originOf(address: TargetAddress): string {
  const host = address.address.includes(':')
    ? `[${address.address}]`
    : address.address;
  return `http://${host}:${address.port}`;
}

function createPools(origin: string): PoolPair {
  const commonOptions = {
    // Allocations limit the open requests; a limit here would only delay them.
    connections: null,
    bodyTimeout: 0,
    headersTimeout: 0,
  };
  return {
    reused: new Pool(origin, {
      ...commonOptions,
      keepAliveTimeout: KEEP_ALIVE_MS,
    }),
    fresh: new Pool(origin, {...commonOptions, pipelining: 0}),
  };
}

function isNotRunResponse(body: string): boolean {
  try {
    const value = JSON.parse(body) as {readonly not_run?: unknown} | null;
    return value?.not_run === true;
  } catch {
    return false;
  }
}

/** Called with the head of each response. */
export type HeadListener = (
  address: TargetAddress,
  head: Pick<TargetResponse, 'status' | 'headers'>,
  sentAtMs: number,
) => void;

export class TargetClient {
  private readonly pools = new Map<string, PoolPair>();

  constructor(
    private readonly onHead: HeadListener = () => undefined,
    private readonly nowMs: () => number = () => performance.now(),
  ) {}

  /** Sends a call; on success the caller must read or discard the body. */
  async open(
    address: TargetAddress,
    call: TargetCall,
    connection: 'reused' | 'fresh',
  ): Promise<Result<TargetResponse, TargetError>> {
    const pool = this.poolFor(address)[connection];
    const sentAtMs = this.nowMs();
    const opened = await dispatch(pool, address, call);
    if (opened.isOk()) this.onHead(address, opened.value, sentAtMs);
    if (opened.isErr() || opened.value.status < 400) return opened;
    return err(await toTargetError(opened.value));
  }

  /** Attaches to a running or finished generation from `fromSequence` on. */
  resume(
    address: TargetAddress,
    generation: GenerationId,
    fromSequence: number,
    firstByteTimeoutMs: number,
    signal: AbortSignal,
  ): Promise<Result<TargetResponse, TargetError>> {
    const path = `/v1/generations/${encodeURIComponent(generation)}?from=${fromSequence}`;
    return this.open(
      address,
      {
        method: 'GET',
        path,
        headers: {accept: 'text/event-stream'},
        body: undefined,
        mayStart: () => true,
        firstByteTimeoutMs,
        signal,
      },
      'fresh',
    );
  }

  /**
   * Cancels a generation; with `onlyDetached` the target keeps one that has a
   * reader again.
   */
  async cancel(
    address: TargetAddress,
    generation: GenerationId,
    onlyDetached: boolean,
  ): Promise<void> {
    const path = `/v1/generations/${encodeURIComponent(generation)}?detached=${onlyDetached}`;
    const response = await this.open(
      address,
      probeCall('DELETE', path),
      'fresh',
    );
    if (response.isOk()) response.value.body.discard();
  }

  /** Sends an order; only the status of the response is used. */
  async sendOrder(
    address: TargetAddress,
    key: string,
    body: object,
    mayStart: () => boolean,
    timeoutMs: number,
  ): Promise<Result<void, TargetError>> {
    const response = await this.open(
      address,
      {
        method: 'POST',
        path: '/v1/orders',
        headers: {
          'content-type': 'application/json',
          authorization: `Bearer ${key}`,
        },
        body: JSON.stringify(body),
        mayStart,
        firstByteTimeoutMs: timeoutMs,
        signal: new AbortController().signal,
      },
      'fresh',
    );
    return response.map(({body: content}) => content.discard());
  }

  /** Whether this incarnation of the target responds on a new connection. */
  async isAlive(address: TargetAddress): Promise<boolean> {
    const response = await this.open(
      address,
      probeCall('GET', '/healthz'),
      'fresh',
    );
    if (response.isErr()) return hasAnswered(response.error);
    const incarnation = response.value.headers[INCARNATION_HEADER];
    response.value.body.discard();
    return incarnation === undefined || incarnation === address.incarnation;
  }

  async close(): Promise<void> {
    const pools = [...this.pools.values()];
    this.pools.clear();
    await Promise.all(
      pools.flatMap(({reused, fresh}) => [reused.destroy(), fresh.destroy()]),
    );
  }

  private poolFor(address: TargetAddress): PoolPair {
    const origin = originOf(address);
    const existing = this.pools.get(origin);
    if (existing) return existing;
    const created = createPools(origin);
    this.pools.set(origin, created);
    return created;
  }
}

function hasAnswered(error: TargetError): boolean {
  return error.kind === 'lost' ? error.hasResponded : error.kind === 'failed';
}

function probeCall(method: Dispatcher.HttpMethod, path: string): TargetCall {
  return {
    method,
    path,
    headers: {},
    body: undefined,
    mayStart: () => true,
    firstByteTimeoutMs: PROBE_TIMEOUT_MS,
    signal: new AbortController().signal,
  };
}

/** Resolves with the head of the response, or with the reason there is none. */
function dispatch(
  pool: Pool,
  address: TargetAddress,
  call: TargetCall,
): Promise<Result<TargetResponse, TargetError>> {
  return new Promise(resolve => {
    const onAbort = () => stream.destroy('the caller disconnected');
    const stream = new TargetStream({
      mayStart: call.mayStart,
      method: call.method,
      onHead: ({status, headers}) => {
        clearTimeout(timer);
        resolve(ok({status, headers, body: stream}));
      },
      onFailure: failure => {
        clearTimeout(timer);
        call.signal.removeEventListener('abort', onAbort);
        resolve(err(toCallError(failure)));
      },
    });
    const timer = setTimeout(
      () => stream.destroy('no response in time'),
      call.firstByteTimeoutMs,
    );
    if (call.signal.aborted) {
      onAbort();
      return;
    }
    call.signal.addEventListener('abort', onAbort, {once: true});
    pool.dispatch(
      {
        method: call.method,
        path: call.path,
        headers: {...call.headers, [INCARNATION_HEADER]: address.incarnation},
        body: call.body ?? null,
      },
      stream,
    );
  });
}

function toCallError(failure: CallFailure): TargetError {
  const {reason, hasStarted, hasResponded} = failure;
  return hasStarted
    ? {kind: 'lost', reason, hasResponded}
    : {kind: 'not_sent', reason};
}

async function toTargetError(response: TargetResponse): Promise<TargetError> {
  const {status, body} = response;
  const text = (await readFully(body, MAX_ERROR_BYTES))?.toString('utf8') ?? '';
  if (isNotRunResponse(text))
    return {kind: 'refused', reason: `status ${status}`};
  return {kind: 'failed', status, body: text};
}

/** Requests to targets: generations, resumes, cancels, plain calls and probes. */
import type {IncomingHttpHeaders} from 'node:http';
import type {Readable} from 'node:stream';
import {err, ok, type Result} from 'neverthrow';
import {Pool, type Dispatcher} from 'undici';
import type {GenerationId, TargetId} from '@samphirefield/core';
import {guardStarts, type StartGuard} from './start-guard.js';

export interface TargetAddress {
  readonly target: TargetId;
  readonly incarnation: string;
  readonly address: string;
  readonly port: number;
}

export type TargetError =
  /** No byte of the request left. */
  | {readonly kind: 'not_sent'; readonly reason: string}
  /** The target says that it did not run the request. */
  | {readonly kind: 'refused'; readonly reason: string}
  /** The connection broke or stayed silent after bytes had left. */
  | {readonly kind: 'lost'; readonly reason: string}
  /** The target answered with an error. */
  | {readonly kind: 'failed'; readonly status: number; readonly body: string};

export interface OpenStream {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Readable;
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

const CONNECTIONS_PER_TARGET = 1_024;
const KEEP_ALIVE_MS = 4_000;
const PROBE_TIMEOUT_MS = 800;
const MAX_ERROR_BYTES = 65_536;
export const HEADER_INCARNATION = 'x-samphirefield-incarnation';

interface PoolPair {
  readonly reused: Dispatcher;
  /** Opens a connection for each call: an old one may have gone silent. */
  readonly fresh: Dispatcher;
  readonly close: () => Promise<void>;
}

function originOf(address: TargetAddress): string {
  const host = address.address.includes(':')
    ? `[${address.address}]`
    : address.address;
  return `http://${host}:${address.port}`;
}

function openPools(origin: string): PoolPair {
  const shared = {
    connections: CONNECTIONS_PER_TARGET,
    bodyTimeout: 0,
    headersTimeout: 0,
  };
  const reused = new Pool(origin, {...shared, keepAliveTimeout: KEEP_ALIVE_MS});
  const fresh = new Pool(origin, {...shared, pipelining: 0});
  return {
    reused: reused.compose(guardStarts),
    fresh: fresh.compose(guardStarts),
    close: async () => {
      await Promise.all([reused.destroy(), fresh.destroy()]);
    },
  };
}

async function readText(body: Readable): Promise<string> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of body) {
    bytes += (chunk as Buffer).length;
    if (bytes > MAX_ERROR_BYTES) break;
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString('utf8');
}

function saysNotRun(body: string): boolean {
  try {
    const value = JSON.parse(body) as {readonly not_run?: unknown} | null;
    return value?.not_run === true;
  } catch {
    return false;
  }
}

export class TargetClient {
  private readonly pools = new Map<string, PoolPair>();

  /** Sends a call; on success the answer's body is still to be read. */
  async open(
    address: TargetAddress,
    call: TargetCall,
    connection: 'reused' | 'fresh',
  ): Promise<Result<OpenStream, TargetError>> {
    const guard: StartGuard = {mayStart: call.mayStart, hasStarted: false};
    const timeout = new AbortController();
    const timer = setTimeout(() => timeout.abort(), call.firstByteTimeoutMs);
    try {
      const response = await this.poolFor(address)[connection].request({
        method: call.method,
        path: call.path,
        headers: {...call.headers, [HEADER_INCARNATION]: address.incarnation},
        body: call.body,
        signal: AbortSignal.any([call.signal, timeout.signal]),
        guard,
      } as Dispatcher.RequestOptions);
      const {statusCode: status, headers, body} = response;
      // A late abort of the call's own signal still has to end the body.
      body.on('error', () => undefined);
      if (status < 400) return ok({status, headers, body});
      return err(await toError(status, body));
    } catch (error) {
      const reason = (error as Error).message;
      return err({kind: guard.hasStarted ? 'lost' : 'not_sent', reason});
    } finally {
      clearTimeout(timer);
    }
  }

  /** Attaches to a running or finished generation from `fromSequence` on. */
  resume(
    address: TargetAddress,
    generation: GenerationId,
    fromSequence: number,
    firstByteTimeoutMs: number,
    signal: AbortSignal,
  ): Promise<Result<OpenStream, TargetError>> {
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

  /** Ends a generation; `onlyDetached` spares one that somebody reads again. */
  async cancel(
    address: TargetAddress,
    generation: GenerationId,
    onlyDetached: boolean,
  ): Promise<void> {
    const path = `/v1/generations/${encodeURIComponent(generation)}?detached=${onlyDetached}`;
    const answer = await this.open(address, probeCall('DELETE', path), 'fresh');
    if (answer.isOk()) answer.value.body.resume();
  }

  /** Whether this very run of the target still answers on a new connection. */
  async isAlive(address: TargetAddress): Promise<boolean> {
    const answer = await this.open(
      address,
      probeCall('GET', '/healthz'),
      'fresh',
    );
    if (answer.isErr()) return answer.error.kind === 'failed';
    const found = answer.value.headers[HEADER_INCARNATION];
    answer.value.body.resume();
    return found === undefined || found === address.incarnation;
  }

  async close(): Promise<void> {
    const pools = [...this.pools.values()];
    this.pools.clear();
    await Promise.all(pools.map(pool => pool.close()));
  }

  private poolFor(address: TargetAddress): PoolPair {
    const origin = originOf(address);
    const known = this.pools.get(origin);
    if (known) return known;
    const made = openPools(origin);
    this.pools.set(origin, made);
    return made;
  }
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

async function toError(status: number, body: Readable): Promise<TargetError> {
  const text = await readText(body).catch(() => '');
  if (saysNotRun(text)) return {kind: 'refused', reason: `status ${status}`};
  return {kind: 'failed', status, body: text};
}

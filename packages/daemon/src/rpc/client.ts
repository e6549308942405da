/**
 * Calls other daemons by JSON-RPC over HTTP. A call that times out closes its
 * connection, so that a connection that went silent is replaced.
 */
import {
  createJSONRPCRequest,
  createJSONRPCNotification,
  isJSONRPCResponse,
} from 'json-rpc-2.0';
import {err, ok, type Result} from 'neverthrow';
import {Pool} from 'undici';
import {
  responseMac,
  HEADER_MAC,
  HEADER_DEPLOYMENT,
  HEADER_PROTOCOL,
  PROTOCOL_VERSION,
  requestMac,
} from './auth.js';
import {secretsEqual} from '@samphirefield/core';

export interface PeerAddress {
  readonly address: string;
  readonly port: number;
}

export type RpcError =
  | {readonly kind: 'unreachable'; readonly reason: string}
  | {readonly kind: 'refused'; readonly status: number; readonly reason: string}
  | {readonly kind: 'failed'; readonly code: number; readonly reason: string}
  | {readonly kind: 'malformed'; readonly reason: string};

export interface RpcNotification {
  readonly method: string;
  readonly params: unknown;
}

const CONNECTIONS_PER_PEER = 4;
const MAX_REASON_LENGTH = 200;

export class RpcClient {
  private readonly pools = new Map<string, Pool>();
  private nextId = 1;

  constructor(
    private readonly key: string,
    private readonly deployment: string,
    /** Local address of the calls; undefined lets the system choose. */
    private readonly localAddress: string | undefined,
  ) {}

  /** Calls one method and returns its result unvalidated. */
  async call(
    peer: PeerAddress,
    method: string,
    params: unknown,
    timeoutMs: number,
  ): Promise<Result<unknown, RpcError>> {
    const request = createJSONRPCRequest(this.nextId, method, params);
    this.nextId += 1;
    const response = await this.post(peer, JSON.stringify(request), timeoutMs);
    return response.andThen(text => parseResponse(text));
  }

  /** Sends notifications in one batch; they return no results. */
  async notify(
    peer: PeerAddress,
    notifications: readonly RpcNotification[],
    timeoutMs: number,
  ): Promise<Result<void, RpcError>> {
    const batch = notifications.map(({method, params}) =>
      createJSONRPCNotification(method, params),
    );
    const response = await this.post(peer, JSON.stringify(batch), timeoutMs);
    return response.map(() => undefined);
  }

  async close(): Promise<void> {
    const pools = [...this.pools.values()];
    this.pools.clear();
    await Promise.all(pools.map(pool => pool.destroy()));
  }

  private poolFor(peer: PeerAddress): Pool {
    const host = peer.address.includes(':')
      ? `[${peer.address}]`
      : peer.address;
    const origin = `http://${host}:${peer.port}`;
    const existing = this.pools.get(origin);
    if (existing) return existing;
    const pool = new Pool(origin, {
      connections: CONNECTIONS_PER_PEER,
      ...(this.localAddress === undefined
        ? {}
        : {localAddress: this.localAddress}),
    });
    this.pools.set(origin, pool);
    return pool;
  }

  private async post(
    peer: PeerAddress,
    body: string,
    timeoutMs: number,
  ): Promise<Result<string, RpcError>> {
    const mac = requestMac(this.key, this.deployment, body);
    try {
      const response = await this.poolFor(peer).request({
        method: 'POST',
        path: '/rpc',
        headers: {
          'content-type': 'application/json',
          [HEADER_DEPLOYMENT]: this.deployment,
          [HEADER_PROTOCOL]: PROTOCOL_VERSION,
          [HEADER_MAC]: mac,
        },
        body,
        signal: AbortSignal.timeout(timeoutMs),
      });
      const text = await response.body.text();
      if (response.statusCode !== 200) {
        const reason = text.slice(0, MAX_REASON_LENGTH);
        return err({kind: 'refused', status: response.statusCode, reason});
      }
      const responseMacHex = String(response.headers[HEADER_MAC] ?? '');
      if (!secretsEqual(responseMacHex, responseMac(this.key, mac, text))) {
        return err({
          kind: 'malformed',
          reason:
            'the response is not authenticated with the key of this deployment',
        });
      }
      return ok(text);
    } catch (error) {
      return err({kind: 'unreachable', reason: (error as Error).message});
    }
  }
}

function parseResponse(text: string): Result<unknown, RpcError> {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    return err({kind: 'malformed', reason: 'the response is not JSON'});
  }
  if (!isJSONRPCResponse(value)) {
    return err({kind: 'malformed', reason: 'the response is not JSON-RPC'});
  }
  if (value.error) {
    const {code, message} = value.error;
    return err({kind: 'failed', code, reason: message});
  }
  return ok(value.result as unknown);
}

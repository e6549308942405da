/** Serves JSON-RPC calls of other daemons on the internal listener. */
import {
  JSONRPCServer,
  JSONRPCErrorException,
  type JSONRPCRequest,
} from 'json-rpc-2.0';
import {RESPONSE_ALREADY_SENT} from '@hono/node-server/utils/response';
import type {Logger} from '@samphirefield/core';
import type {z} from 'zod';
import {NO_MEMORY, readBody, type App} from '../http/index.js';
import {
  responseMac,
  HEADER_MAC,
  HEADER_DEPLOYMENT,
  HEADER_PROTOCOL,
  verifyPeer,
} from './auth.js';

const MAX_RPC_BYTES = 33_554_432;
const INVALID_PARAMS = -32_602;
const REFUSAL_LOG_INTERVAL_MS = 10_000;

export class RpcServer {
  private readonly server = new JSONRPCServer({errorListener: () => undefined});
  private refusalLoggedAtMs = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly key: string,
    private readonly deployment: string,
    private readonly logger: Logger,
    private readonly nowMs: () => number,
  ) {}

  /** Registers a method; parameters that fail the schema are rejected. */
  register<Schema extends z.ZodType>(
    method: string,
    schema: Schema,
    handle: (params: z.output<Schema>) => unknown,
  ): void {
    this.server.addMethod(method, (params: unknown) => {
      const parsed = schema.safeParse(params);
      if (parsed.success) return handle(parsed.data);
      const issue = parsed.error.issues[0];
      const path = issue?.path.join('.') ?? '';
      throw new JSONRPCErrorException(
        `invalid parameters of ${method}: ${path}: ${issue?.message}`,
        INVALID_PARAMS,
      );
    });
  }

  mount(app: App): void {
    app.post('/rpc', async context => {
      const {incoming, outgoing} = context.env;
      const body = await readBody(incoming, MAX_RPC_BYTES);
      if (body.isErr() && body.error.kind === 'no_memory')
        return context.text(NO_MEMORY.message, 503);
      if (body.isErr()) return context.text('the body is too large', 413);
      const text = body.value.toString('utf8');
      const refusal = verifyPeer(
        this.key,
        this.deployment,
        {
          [HEADER_DEPLOYMENT]: context.req.header(HEADER_DEPLOYMENT),
          [HEADER_PROTOCOL]: context.req.header(HEADER_PROTOCOL),
          [HEADER_MAC]: context.req.header(HEADER_MAC),
        },
        text,
      );
      if (refusal) {
        this.logRefusal(refusal, incoming.socket.remoteAddress ?? 'unknown');
        return context.text(`refused: ${refusal}`, 403);
      }
      const responseText = await this.handleCalls(text);
      const mac = context.req.header(HEADER_MAC) ?? '';
      outgoing.writeHead(200, {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(responseText),
        [HEADER_MAC]: responseMac(this.key, mac, responseText),
      });
      outgoing.end(responseText);
      return RESPONSE_ALREADY_SENT;
    });
  }

  private async handleCalls(text: string): Promise<string> {
    let request: JSONRPCRequest | JSONRPCRequest[];
    try {
      request = JSON.parse(text) as JSONRPCRequest | JSONRPCRequest[];
    } catch {
      return JSON.stringify({
        jsonrpc: '2.0',
        id: null,
        error: {code: -32_700, message: 'the request is not JSON'},
      });
    }
    const response = Array.isArray(request)
      ? await this.server.receive(request)
      : await this.server.receive(request);
    return response ? JSON.stringify(response) : '';
  }

  private logRefusal(reason: string, address: string): void {
    const nowMs = this.nowMs();
    if (nowMs - this.refusalLoggedAtMs < REFUSAL_LOG_INTERVAL_MS) return;
    this.refusalLoggedAtMs = nowMs;
    this.logger.warn('peer_refused', {reason, address});
  }
}

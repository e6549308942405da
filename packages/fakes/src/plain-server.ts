/** A fake plain service: responds with JSON, records the calls it ran, can fail. */
import {randomUUID} from 'node:crypto';
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Announcement} from '@samphirefield/core';
import {Announcer} from './announcer.js';

export interface FakePlainOptions {
  readonly target: string;
  readonly zone: string;
  readonly service: string;
  readonly slots?: number;
  readonly port?: number;
  readonly daemons: readonly string[];
  readonly key: string;
  readonly delayMs?: number;
  readonly announceMs?: number;
}

/** One call that the service executed. */
export interface ExecutedCall {
  readonly method: string;
  readonly path: string;
  readonly idempotencyKey: string | undefined;
  readonly body: string;
}

export class FakePlain {
  readonly incarnation = randomUUID();
  readonly executedCalls: ExecutedCall[] = [];
  /** Runs each call, then closes the connection instead of responding. */
  dropsResponses = false;
  /** Each character is sent as one byte. */
  contentType = 'application/json';
  /** Responds to each call that it was not run. */
  rejectsCalls = false;
  delayMs: number;
  private running = 0;
  private port = 0;
  private readonly server: Server;
  private readonly announcer: Announcer;

  private constructor(private readonly options: FakePlainOptions) {
    const DEFAULT_ANNOUNCE_INTERVAL_MS = 1_000;
    this.delayMs = options.delayMs ?? 0;
    this.server = createServer(
      (request, response) => void this.handle(request, response),
    );
    this.announcer = new Announcer({
      daemons: options.daemons,
      key: options.key,
      intervalMs: options.announceMs ?? DEFAULT_ANNOUNCE_INTERVAL_MS,
      build: () => this.announcement(),
    });
  }

  static async start(options: FakePlainOptions): Promise<FakePlain> {
    const fake = new FakePlain(options);
    await new Promise<void>(resolve =>
      fake.server.listen(options.port ?? 0, '127.0.0.1', resolve),
    );
    fake.port = (fake.server.address() as AddressInfo).port;
    fake.announcer.start();
    return fake;
  }

  get url(): string {
    return `http://127.0.0.1:${this.port}`;
  }

  async crash(): Promise<void> {
    this.announcer.stop();
    this.server.closeAllConnections();
    await new Promise<void>(resolve => this.server.close(() => resolve()));
  }

  private announcement(): Announcement {
    const DEFAULT_SLOTS = 16;
    const {target, zone, service, slots = DEFAULT_SLOTS} = this.options;
    return {
      target,
      incarnation: this.incarnation,
      zone,
      service,
      address: '127.0.0.1',
      port: this.port,
      models: [],
      slots,
      cold_slots: slots,
      kv_tokens: 0,
      is_warm: true,
      warm_for_ms: 3_600_000,
      load: {running: this.running, waiting: 0, kv_used_tokens: 0, age_ms: 0},
    };
  }

  private async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    response.setHeader('x-samphirefield-incarnation', this.incarnation);
    response.setHeader('content-type', this.contentType);
    if (request.url === '/healthz') {
      response.end('{}');
      return;
    }
    if (this.rejectsCalls) {
      response.writeHead(503);
      response.end(JSON.stringify({not_run: true}));
      return;
    }
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    const key = request.headers['idempotency-key'];
    this.executedCalls.push({
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      idempotencyKey: typeof key === 'string' ? key : undefined,
      body: Buffer.concat(chunks).toString('utf8'),
    });
    const number = this.executedCalls.length;
    this.running += 1;
    if (this.delayMs > 0)
      await new Promise(resolve => setTimeout(resolve, this.delayMs));
    this.running -= 1;
    if (this.dropsResponses) {
      response.destroy();
      return;
    }
    response.end(JSON.stringify({order: number, target: this.options.target}));
  }
}

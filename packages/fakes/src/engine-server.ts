/**
 * A fake model engine over HTTP, for tests, benchmarks and the demo. It follows
 * docs/TARGETS.md: generation, resume, cancel, announcements, cache events that
 * arrive late and with gaps, delayed load reports, and faults to switch on.
 */
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
import {
  cancel,
  createEngine,
  DEFAULT_ENGINE,
  kvUsed,
  sequenceCount,
  step,
  submit,
  takeCacheChanges,
  turnCold,
  type EngineConfig,
  type EngineState,
  type Sequence,
} from './engine-model.js';

export interface FakeEngineOptions {
  readonly target: string;
  readonly zone: string;
  readonly service: string;
  readonly models: ReadonlyArray<{
    readonly model: string;
    readonly version: string;
  }>;
  readonly config?: Partial<EngineConfig>;
  readonly isWarm?: boolean;
  readonly address?: string;
  readonly port?: number;
  readonly daemons: readonly string[];
  readonly key: string;
  readonly announceMs?: number;
  /** Factor by which the simulated engine runs faster than real time. */
  readonly speed?: number;
  /** Duration of loading a model. */
  readonly loadMs?: number;
  /** Accepts orders with an old epoch and orders from unauthenticated senders. */
  readonly ignoresEpochs?: boolean;
  /** Age of the load figures in each announcement. */
  readonly loadLagMs?: number;
  readonly tokenBytes?: number;
  /**
   * Duration of work as a percentage of the usual; if set, responses state it
   * in their load header.
   */
  readonly pacePct?: () => number;
}

/** Faults that a test can switch on. */
export interface EngineFaults {
  /** Accepts connections and sends nothing. */
  isHung: boolean;
  /** Sends nothing on open streams; new connections work. */
  hasSilentStreams: boolean;
  /** Crashes when a request contains this text. */
  poisonText: string | undefined;
  /** Sends each event twice and swaps the two events of each pair. */
  isUnordered: boolean;
  dropsCacheEvents: boolean;
}

/** An order to load a model, as received, and whether it was accepted. */
export interface ReceivedOrder {
  readonly model: string;
  readonly version: string;
  readonly epoch: number;
  readonly isAccepted: boolean;
}

interface Generation {
  readonly id: string;
  readonly isChat: boolean;
  readonly model: string;
  readonly events: string[];
  isDone: boolean;
  readers: Set<Reader>;
  detachedAtMs: number;
}

interface Reader {
  readonly response: ServerResponse;
  nextEvent: number;
  isSilenced: boolean;
}

const USUAL_PACE_PCT = 100;
const KEEPALIVE_INTERVAL_MS = 500;
const DETACHED_RETENTION_MS = 30_000;
const DEFAULT_ANNOUNCE_INTERVAL_MS = 1_000;
const WORDS = [
  'graft',
  'wax',
  'bud',
  'stock',
  'knife',
  'season',
  'sloop',
  'barge',
  'hull',
  'keel',
];

/** Reads `length=N` from the prompt, so that callers can choose the length. */
function outputLength(prompt: string, maxTokens: number): number {
  const requested = /length=(\d+)/.exec(prompt);
  const length = requested ? Number(requested[1]) : 20 + (prompt.length % 60);
  return Math.max(1, Math.min(length, maxTokens));
}

async function readText(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString('utf8');
}

export class FakeEngine {
  readonly incarnation = randomUUID();
  readonly faults: EngineFaults = {
    isHung: false,
    hasSilentStreams: false,
    poisonText: undefined,
    isUnordered: false,
    dropsCacheEvents: false,
  };
  readonly engine: EngineState;
  /** Number of generations started so far, for tests. */
  startedCount = 0;
  leavingInMs: number | undefined;
  /** Every order received, with its result. */
  readonly orders: ReceivedOrder[] = [];
  private readonly models: Array<{model: string; version: string}>;
  private highestEpoch = 0;
  private readonly generations = new Map<string, Generation>();
  private readonly announcer: Announcer;
  private readonly server: Server;
  private stepTimer: NodeJS.Timeout | undefined;
  private readonly keepAliveTimer: NodeJS.Timeout;
  private cacheSeq = 0;
  private warmSinceMs: number;
  private port = 0;
  /** Past load figures, oldest first, from which delayed ones are reported. */
  private loads: Array<{atMs: number; load: Announcement['load']}> = [];

  private constructor(private readonly options: FakeEngineOptions) {
    this.models = [...options.models];
    const isWarm = options.isWarm ?? true;
    this.engine = createEngine({...DEFAULT_ENGINE, ...options.config}, isWarm);
    this.warmSinceMs = isWarm ? Date.now() - 3_600_000 : Date.now();
    this.server = createServer(
      (request, response) => void this.handle(request, response),
    );
    this.announcer = new Announcer({
      daemons: options.daemons,
      key: options.key,
      intervalMs: options.announceMs ?? DEFAULT_ANNOUNCE_INTERVAL_MS,
      build: () => this.announcement(),
    });
    this.keepAliveTimer = setInterval(
      () => this.keepAlive(),
      KEEPALIVE_INTERVAL_MS,
    );
  }

  static async start(options: FakeEngineOptions): Promise<FakeEngine> {
    const fake = new FakeEngine(options);
    await new Promise<void>(resolve => {
      fake.server.listen(
        options.port ?? 0,
        options.address ?? '127.0.0.1',
        resolve,
      );
    });
    fake.port = (fake.server.address() as AddressInfo).port;
    fake.announcer.start();
    return fake;
  }

  get url(): string {
    return `http://${this.options.address ?? '127.0.0.1'}:${this.port}`;
  }

  announce(): Promise<void> {
    return this.announcer.announce();
  }

  /** Crashes like a killed process: every connection is reset. */
  async crash(): Promise<void> {
    this.announcer.stop();
    clearTimeout(this.stepTimer);
    clearInterval(this.keepAliveTimer);
    this.server.closeAllConnections();
    await new Promise<void>(resolve => this.server.close(() => resolve()));
  }

  turnCold(): void {
    turnCold(this.engine);
    this.warmSinceMs = Date.now();
  }

  private announcement(): Announcement {
    const {options, engine} = this;
    const {slots, coldSlots, kvTokens} = engine.config;
    const changes = takeCacheChanges(engine);
    const firstSeq = this.cacheSeq;
    this.cacheSeq += changes.length;
    const cache = this.faults.dropsCacheEvents
      ? undefined
      : {first_seq: firstSeq, events: [...changes]};
    return {
      target: options.target,
      incarnation: this.incarnation,
      zone: options.zone,
      service: options.service,
      address: options.address ?? '127.0.0.1',
      port: this.port,
      models: [...this.models],
      slots,
      cold_slots: coldSlots,
      kv_tokens: kvTokens,
      is_warm: engine.isWarm,
      warm_for_ms: engine.isWarm
        ? Math.max(0, Date.now() - this.warmSinceMs)
        : 0,
      leaving_in_ms: this.leavingInMs,
      load: this.laggedLoad(),
      cache,
    };
  }

  private laggedLoad(): Announcement['load'] {
    const {engine} = this;
    const nowMs = Date.now();
    const lagMs = this.options.loadLagMs ?? 0;
    this.loads.push({
      atMs: nowMs,
      load: {
        running: engine.running.size + engine.waiting.size,
        waiting: engine.waiting.size,
        kv_used_tokens: kvUsed(engine),
        age_ms: 0,
      },
    });
    const reported =
      this.loads.findLast(item => nowMs - item.atMs >= lagMs) ?? this.loads[0]!;
    this.loads = this.loads.filter(item => item.atMs >= reported.atMs);
    return {...reported.load, age_ms: nowMs - reported.atMs};
  }

  private async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (this.faults.isHung) return;
    const url = new URL(request.url ?? '/', 'http://fake');
    response.setHeader('x-samphirefield-incarnation', this.incarnation);
    this.writeLoadHeader(response);
    const generation = /^\/v1\/generations\/([^/]+)$/.exec(url.pathname)?.[1];
    if (generation !== undefined) {
      this.handleGeneration(
        request,
        response,
        decodeURIComponent(generation),
        url,
      );
      return;
    }
    const isChat = url.pathname === '/v1/chat/completions';
    if (
      request.method === 'POST' &&
      (isChat || url.pathname === '/v1/completions')
    ) {
      await this.startGeneration(request, response, isChat);
      return;
    }
    if (request.method === 'POST' && url.pathname === '/v1/orders') {
      await this.handleOrder(request, response);
      return;
    }
    const isHealth = url.pathname === '/healthz';
    response.writeHead(isHealth ? 200 : 404, {
      'content-type': 'application/json',
    });
    response.end('{}');
  }

  private writeLoadHeader(response: ServerResponse): void {
    const pacePct = this.options.pacePct?.();
    if (pacePct === undefined) return;
    const {running, waiting, config} = this.engine;
    const fields = [running.size, waiting.size, config.slots, pacePct];
    response.setHeader('x-samphirefield-load', fields.join(','));
  }

  private async handleOrder(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const {key, ignoresEpochs = false, loadMs = 0} = this.options;
    const order = JSON.parse(await readText(request)) as Omit<
      ReceivedOrder,
      'isAccepted'
    >;
    const isAuthorized = request.headers.authorization === `Bearer ${key}`;
    const isCurrent = order.epoch >= this.highestEpoch;
    const isAccepted = ignoresEpochs || (isAuthorized && isCurrent);
    this.orders.push({...order, isAccepted});
    response.writeHead(isAccepted ? 200 : 409, {
      'content-type': 'application/json',
    });
    response.end(JSON.stringify({not_run: !isAccepted}));
    if (!isAccepted) return;
    this.highestEpoch = Math.max(this.highestEpoch, order.epoch);
    const {model, version} = order;
    setTimeout(() => this.models.push({model, version}), loadMs);
  }

  private async startGeneration(
    request: IncomingMessage,
    response: ServerResponse,
    isChat: boolean,
  ): Promise<void> {
    const text = await readText(request);
    const expected = request.headers['x-samphirefield-incarnation'];
    if (expected !== undefined && expected !== this.incarnation) {
      response.writeHead(409, {'content-type': 'application/json'});
      response.end(
        JSON.stringify({
          not_run: true,
          error: {message: 'another incarnation'},
        }),
      );
      return;
    }
    if (
      this.faults.poisonText !== undefined &&
      text.includes(this.faults.poisonText)
    ) {
      await this.crash();
      return;
    }
    const body = JSON.parse(text) as {
      model: string;
      max_tokens?: number;
      prompt?: unknown;
      messages?: unknown;
    };
    const prompt = JSON.stringify(body.messages ?? body.prompt ?? '');
    const generation: Generation = {
      id: randomUUID(),
      isChat,
      model: body.model,
      events: [],
      isDone: false,
      readers: new Set(),
      detachedAtMs: Date.now(),
    };
    this.generations.set(generation.id, generation);
    this.startedCount += 1;
    const CHARACTERS_PER_TOKEN = 4;
    submit(this.engine, {
      id: generation.id,
      promptTokens: Math.ceil(prompt.length / CHARACTERS_PER_TOKEN),
      outputTokens: outputLength(prompt, body.max_tokens ?? 1_000_000),
      priority: 5,
      prefix: String(request.headers['x-samphirefield-prefix'] ?? ''),
    });
    this.attachReader(generation, response, 0);
    this.scheduleStep(0);
  }

  private handleGeneration(
    request: IncomingMessage,
    response: ServerResponse,
    id: string,
    url: URL,
  ): void {
    const generation = this.generations.get(id);
    if (generation === undefined) {
      response.writeHead(404, {'content-type': 'application/json'});
      response.end(JSON.stringify({error: {message: 'unknown generation'}}));
      return;
    }
    if (request.method === 'DELETE') {
      const onlyDetached = url.searchParams.get('detached') === 'true';
      if (!onlyDetached || generation.readers.size === 0)
        this.endGeneration(generation);
      response.writeHead(200, {'content-type': 'application/json'});
      response.end('{}');
      return;
    }
    this.attachReader(
      generation,
      response,
      Number(url.searchParams.get('from') ?? 0),
    );
  }

  private endGeneration(generation: Generation): void {
    cancel(this.engine, generation.id);
    this.generations.delete(generation.id);
    for (const reader of generation.readers) reader.response.destroy();
  }

  private attachReader(
    generation: Generation,
    response: ServerResponse,
    from: number,
  ): void {
    response.writeHead(200, {
      'content-type': 'text/event-stream',
      'x-generation-id': generation.id,
    });
    response.flushHeaders();
    const reader: Reader = {response, nextEvent: from, isSilenced: false};
    generation.readers.add(reader);
    response.once('close', () => {
      generation.readers.delete(reader);
      generation.detachedAtMs = Date.now();
    });
    this.sendPendingEvents(generation, reader);
  }

  private sendPendingEvents(generation: Generation, reader: Reader): void {
    if (this.faults.hasSilentStreams) reader.isSilenced = true;
    if (reader.isSilenced || reader.response.destroyed) return;
    const frames: string[] = [];
    while (reader.nextEvent < generation.events.length) {
      const sequence = reader.nextEvent;
      frames.push(
        `id: ${generation.id}:${sequence}\ndata: ${generation.events[sequence]}\n\n`,
      );
      reader.nextEvent += 1;
    }
    if (this.faults.isUnordered)
      reader.response.write(duplicateAndReorder(frames).join(''));
    else if (frames.length > 0) reader.response.write(frames.join(''));
    if (generation.isDone) reader.response.end();
  }

  private scheduleStep(afterMs: number): void {
    if (this.stepTimer !== undefined) return;
    this.stepTimer = setTimeout(() => {
      this.stepTimer = undefined;
      if (sequenceCount(this.engine) > 0) this.runStep();
    }, afterMs);
  }

  private runStep(): void {
    const wasWarm = this.engine.isWarm;
    const result = step(this.engine);
    if (!wasWarm && this.engine.isWarm) this.warmSinceMs = Date.now();
    for (const sequence of result.emitted)
      this.emit(sequence, result.finished.includes(sequence));
    const {speed = 1, pacePct} = this.options;
    const pace = (pacePct?.() ?? USUAL_PACE_PCT) / USUAL_PACE_PCT;
    this.scheduleStep((result.durationMs * pace) / speed);
  }

  private emit(sequence: Sequence, isLast: boolean): void {
    const generation = this.generations.get(sequence.id);
    if (generation === undefined) return;
    const word = WORDS[sequence.generatedTokens % WORDS.length]!;
    const text = `${word.padEnd(this.options.tokenBytes ?? 0, '.')} `;
    generation.events.push(formatChunk(generation, text, isLast));
    if (isLast) generation.events.push('[DONE]');
    generation.isDone = isLast;
    for (const reader of generation.readers)
      this.sendPendingEvents(generation, reader);
  }

  private keepAlive(): void {
    const nowMs = Date.now();
    for (const generation of this.generations.values()) {
      const isExpired =
        generation.readers.size === 0 &&
        nowMs - generation.detachedAtMs > DETACHED_RETENTION_MS;
      if (isExpired) this.endGeneration(generation);
      for (const reader of generation.readers) {
        if (!this.faults.hasSilentStreams && !reader.isSilenced)
          reader.response.write(': keepalive\n\n');
        else reader.isSilenced = true;
      }
    }
  }
}

function formatChunk(
  generation: Generation,
  text: string,
  isLast: boolean,
): string {
  const choice = generation.isChat ? {delta: {content: text}} : {text};
  return JSON.stringify({
    id: generation.id,
    object: generation.isChat ? 'chat.completion.chunk' : 'text_completion',
    model: generation.model,
    choices: [{index: 0, ...choice, finish_reason: isLast ? 'stop' : null}],
  });
}

/** Returns each frame twice and the two frames of each pair swapped. */
function duplicateAndReorder(frames: readonly string[]): string[] {
  const reordered: string[] = [];
  for (let first = 0; first < frames.length; first += 2) {
    const pair = frames.slice(first, first + 2).reverse();
    reordered.push(...pair, ...pair);
  }
  return reordered;
}

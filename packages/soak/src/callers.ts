/**
 * Callers of a soak. Each uses its open connection until the process closes it;
 * some open a new one for each call, some leave midway, some read slowly.
 */
import {Agent, request, type IncomingMessage} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {onTrueEnd} from './true-end.js';
import {chance, createDraw, pick, type Draw} from './schedule.js';
import {
  REQUEST_KINDS,
  type Address,
  type CallEnd,
  type CallRecord,
  type RequestKind,
  type SoakDialect,
} from './types.js';

const PLAIN_DEADLINE_MS = 2_500;
const STREAM_DEADLINE_MS = 20_000;
/** A caller leaves this long after its deadline. */
const PATIENCE_MS = 1_000;
const MIN_PAUSE_MS = 5;
const MAX_PAUSE_MS = 80;
const NEW_CONNECTION_PERCENT = 15;
const LEAVING_PERCENT = 5;
const SLOW_PERCENT = 10;
const MAX_STAY_MS = 1_500;
const STEADY_EVERY_MS = 100;
const SLOW_READ_MS = 300;
/** A slow caller pauses this often. */
const MAX_SLOW_READS = 8;
const REFUSED_STATUS = 503;
const RETRY_AFTER_MS = 200;
/** Prefix of the error codes of Node's parser. */
const MALFORMED = 'HPE_';

interface Call {
  readonly attempt: string;
  readonly kind: RequestKind;
  readonly entry: number;
  readonly agent: Agent | false;
  readonly leavesAfterMs: number | undefined;
  readonly isSlow: boolean;
  /** Position of the spare route that is called; undefined: none. */
  readonly spareRoute?: number | undefined;
}

export class Callers {
  readonly calls: CallRecord[] = [];
  private isStopped = false;
  private sent = 0;
  private readonly loops: Array<Promise<unknown>> = [];

  constructor(
    private readonly dialect: SoakDialect,
    private readonly entries: readonly Address[],
  ) {}

  start(count: number, seed: number): void {
    for (let i = 0; i < count; i += 1)
      this.loops.push(this.callInTurn(createDraw(seed * count + i), i));
  }

  async stop(): Promise<void> {
    this.isStopped = true;
    await Promise.all(this.loops);
  }

  /** Sends one ordinary request of each kind to each entry. */
  probeAll(): Promise<readonly CallRecord[]> {
    const calls = this.entries.flatMap((_, entry) =>
      REQUEST_KINDS.map(kind => this.callOnce({kind, entry})),
    );
    return Promise.all(calls);
  }

  /** Sends requests to each of these entries at a steady pace, until stopped. */
  callSteadily(entries: readonly number[]): () => void {
    let sent = 0;
    const timer = setInterval(() => {
      const kind = REQUEST_KINDS[sent % REQUEST_KINDS.length]!;
      sent += 1;
      for (const entry of entries)
        this.loops.push(this.callOnce({kind, entry}));
    }, STEADY_EVERY_MS);
    return () => clearInterval(timer);
  }

  callOnce(
    call: Pick<Call, 'kind' | 'entry'> & Partial<Call>,
  ): Promise<CallRecord> {
    this.sent += 1;
    const attempt = `a${this.sent}`;
    const defaults = {agent: false as const, leavesAfterMs: undefined};
    return this.send({...defaults, isSlow: false, ...call, attempt});
  }

  private async callInTurn(draw: Draw, position: number): Promise<void> {
    let entry = position % this.entries.length;
    const kept = new Agent({keepAlive: true, maxSockets: 1});
    while (!this.isStopped) {
      const isNew = chance(draw, NEW_CONNECTION_PERCENT);
      const leaves = chance(draw, LEAVING_PERCENT);
      const record = await this.callOnce({
        kind: pick(draw, REQUEST_KINDS),
        entry,
        agent: isNew ? false : kept,
        leavesAfterMs: leaves ? draw(1, MAX_STAY_MS) : undefined,
        isSlow: chance(draw, SLOW_PERCENT),
      });
      if (record.end.kind === 'closed')
        entry = draw(0, this.entries.length - 1);
      const isRefused =
        record.end.kind === 'answered' && record.end.status === REFUSED_STATUS;
      if (isRefused) await delay(RETRY_AFTER_MS);
      await delay(draw(MIN_PAUSE_MS, MAX_PAUSE_MS));
    }
    kept.destroy();
  }

  private send(call: Call): Promise<CallRecord> {
    const {attempt, kind, entry, agent, spareRoute} = call;
    const {dialect} = this;
    const isStream = kind === 'stream';
    const deadlineMs = isStream ? STREAM_DEADLINE_MS : PLAIN_DEADLINE_MS;
    const body = `body-of-${attempt}`;
    const sentAtMs = performance.now();
    return new Promise(resolve => {
      let hasLeft = false;
      let isConnected = false;
      let isDone = false;
      let wasReset = false;
      const finish = (end: CallEnd) => {
        if (isDone) return;
        isDone = true;
        clearTimeout(leaving);
        const endedAtMs = performance.now();
        const times = {deadlineMs, sentAtMs, endedAtMs, hasLeft};
        const sent = {attempt, requestKind: kind, entry, body, spareRoute};
        const record = {...sent, ...times, end};
        this.calls.push(record);
        resolve(record);
      };
      const req = request(
        {
          ...this.entries[entry]!,
          method: 'POST',
          path: dialect.pathOf(kind, spareRoute),
          agent,
          headers: dialect.callHeaders(attempt, deadlineMs),
        },
        res =>
          this.receive(res, call.isSlow, () => hasLeft || wasReset, finish),
      );
      req.on('socket', socket => {
        const onEnd = () => {
          wasReset = true;
          onTrueEnd(socket, () => (wasReset = false));
        };
        socket.prependListener('end', onEnd);
        req.once('close', () => socket.off('end', onEnd));
        if (!socket.connecting) isConnected = true;
        else socket.once('connect', () => (isConnected = true));
      });
      req.on('error', (error: NodeJS.ErrnoException) => {
        const code = error.code ?? '';
        if (code.startsWith(MALFORMED))
          finish({kind: 'malformed', reason: code});
        // The parser takes a clean end without a response for a hang-up.
        const isReset = error.message !== 'socket hang up';
        finish({kind: 'closed', isReset, isConnected});
      });
      const stayMs = call.leavesAfterMs ?? deadlineMs + PATIENCE_MS;
      const leaving = setTimeout(() => {
        hasLeft = true;
        req.destroy();
      }, stayMs);
      req.end(body);
    });
  }

  private receive(
    res: IncomingMessage,
    isSlow: boolean,
    wasCut: () => boolean,
    finish: (end: CallEnd) => void,
  ): void {
    let body = '';
    let pauses = 0;
    let isMalformed: string | undefined;
    res.setEncoding('latin1');
    res.on('data', (part: string) => {
      body += part;
      if (!isSlow || pauses >= MAX_SLOW_READS) return;
      pauses += 1;
      res.pause();
      setTimeout(() => res.resume(), SLOW_READ_MS);
    });
    res.on('error', (error: NodeJS.ErrnoException) => {
      if (error.code?.startsWith(MALFORMED)) isMalformed = error.code;
    });
    const end = (): CallEnd => {
      if (isMalformed) return {kind: 'malformed', reason: isMalformed};
      return {
        kind: 'answered',
        status: res.statusCode ?? 0,
        signature: this.dialect.signatureOf(res.headers),
        attempt: this.dialect.attemptOf(res.headers),
        body,
        // A response without framing also seems to end when its caller leaves.
        isComplete: res.complete && !wasCut(),
      };
    };
    // By then it is known whether the connection was reset.
    res.on('close', () => setImmediate(() => finish(end())));
  }
}

/**
 * Three entries before three targets with few slots and a short queue. From a
 * moment on the targets state that they are brittle, a while later they let
 * fewer wait, and one that rejects more than that a second ends and starts again.
 */
import {connect, type Socket} from 'node:net';
import type {TestContext} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {serviceId, silentLogger, type Logger} from '@samphirefield/core';
import {call, completeResponse} from '@samphirefield/gateway/testing';
import type {TestCluster} from './cluster.js';
import {
  KEYS,
  startRoutedCluster,
  targetsAreKnown,
  type EntryGateway,
} from './gateways.js';
import {TestTargets, type Comeback} from './test-targets.js';

const SERVICE = serviceId('desk');
const TARGETS = 3;
const RUN_MIN_MS = 100;
const RUN_MAX_MS = 300;
const USUAL_QUEUE = 4;
/** Time after the first statement in which the targets still queue as usual. */
const NOTICE_MS = 1_000;
const WINDOW_MS = 1_000;
const DEADLINE_MS = 1_500;
const MAX_TRIES = 3;

export interface BrittleOptions {
  readonly seed: number;
  readonly isEngine: boolean;
  readonly comeback?: Comeback;
  readonly slots?: number;
  readonly logger?: Logger;
  /** Whether targets end from the first statement on; default: after the notice. */
  readonly endsAtOnce?: boolean;
  /** Requests that may wait at a target once the notice is over; default: 0. */
  readonly queueAfterNotice?: number;
  /** Whether the target at a position tells what it states in this answer. */
  readonly tells?: (position: number) => boolean;
}

/** What is at work at one target. */
class Work {
  running = 0;
  waiting: Array<() => void> = [];
  rejectedAtMs: number[] = [];
}

export class BrittlePlay {
  readonly service = SERVICE;
  readonly statuses: number[] = [];
  /** When each target ended because it had rejected too much. */
  readonly fallsAtMs: number[] = [];
  readonly rejectedAtMs: number[] = [];
  private readonly work = Array.from({length: TARGETS}, () => new Work());
  private readonly random;
  private maxRejectionsPerS: number | undefined;
  private brittleSinceMs = Number.POSITIVE_INFINITY;
  private sent = 0;

  private constructor(
    private readonly options: BrittleOptions,
    readonly cluster: TestCluster,
    readonly gateways: EntryGateway[],
    readonly targets: TestTargets,
  ) {
    this.random = xoroshiro128plus(options.seed);
  }

  static async create(
    t: TestContext,
    options: BrittleOptions,
  ): Promise<BrittlePlay> {
    const {
      isEngine,
      comeback = 'same_id',
      slots = 4,
      logger = silentLogger,
    } = options;
    const kind = isEngine ? 'stream' : 'unsafe';
    const routed = {kind, services: [SERVICE], isEngine} as const;
    const {cluster, gateways} = await startRoutedCluster(t, routed, logger);
    const current: {play?: BrittlePlay} = {};
    const targets = await TestTargets.start({
      cluster,
      services: [SERVICE],
      perService: TARGETS,
      isDeadly: () => false,
      comeback,
      slots,
      respond: (position, head, socket) =>
        current.play?.arrive(position, head, socket),
    });
    t.after(() => targets.close());
    await targetsAreKnown(targets, gateways);
    current.play = new BrittlePlay(options, cluster, gateways, targets);
    return current.play;
  }

  get served(): number {
    return this.statuses.filter(status => status === 200).length;
  }

  /** Targets state this from now on; undefined: that they are not brittle. */
  state(maxRejectionsPerS: number | undefined): void {
    if (this.maxRejectionsPerS === undefined)
      this.brittleSinceMs = performance.now();
    this.maxRejectionsPerS = maxRejectionsPerS;
  }

  /**
   * Sends requests at a steady rate to the entries in turn; `giveUpAfterMs`: when
   * every other caller disconnects.
   */
  async send(
    perS: number,
    forMs: number,
    giveUpAfterMs?: number,
  ): Promise<void> {
    const calls: Array<Promise<void>> = [];
    const fromMs = performance.now();
    for (let i = 0; performance.now() - fromMs < forMs; i += 1) {
      const gateway = this.gateways[i % this.gateways.length]!;
      if (giveUpAfterMs !== undefined && i % 2 === 1)
        calls.push(this.callAndLeave(gateway, giveUpAfterMs));
      else calls.push(this.callOften(gateway));
      await delay(Math.max(0, fromMs + (i * 1_000) / perS - performance.now()));
    }
    await Promise.all(calls);
  }

  /** Repeats a call that was refused at once, as impatient callers do. */
  private async callOften({port}: EntryGateway): Promise<void> {
    const headers = {key: KEYS[0], 'deadline-ms': String(DEADLINE_MS)};
    for (let tries = 0; tries < MAX_TRIES; tries += 1) {
      this.sent += 1;
      const attemptId = `a${this.sent}`;
      const request = {attemptId, body: attemptId, path: '/x', headers};
      const response = await call(port, request).catch(() => undefined);
      this.statuses.push(response?.status ?? 0);
      if (response?.status !== 503) return;
    }
  }

  private async callAndLeave(
    {port}: EntryGateway,
    giveUpAfterMs: number,
  ): Promise<void> {
    this.sent += 1;
    const socket = connect(port, '127.0.0.1');
    socket.on('error', () => undefined);
    const lines = [
      'POST /x HTTP/1.1',
      'Host: test',
      `Attempt: a${this.sent}`,
      `Key: ${KEYS[0]}`,
      `Deadline-Ms: ${DEADLINE_MS}`,
      'Content-Length: 0',
    ];
    socket.write(`${lines.join('\r\n')}\r\n\r\n`);
    await delay(giveUpAfterMs);
    socket.destroy();
  }

  private get isNoticeOver(): boolean {
    return performance.now() - this.brittleSinceMs > NOTICE_MS;
  }

  private get queueBound(): number {
    if (this.maxRejectionsPerS === undefined) return USUAL_QUEUE;
    const {queueAfterNotice = 0} = this.options;
    return this.isNoticeOver ? queueAfterNotice : USUAL_QUEUE;
  }

  private arrive(position: number, head: string, socket: Socket): void {
    const work = this.work[position]!;
    const lines = this.linesFor(position, head);
    const start = () => this.run(position, work, socket, lines);
    if (work.running < (this.options.slots ?? 4)) start();
    else if (work.waiting.length < this.queueBound) work.waiting.push(start);
    else this.reject(position, work, socket, lines);
  }

  private linesFor(position: number, head: string): string[] {
    const attempt = /^attempt: (.*)$/im.exec(head)?.[1]?.trim() ?? '';
    const lines = [`Attempt: ${attempt}`];
    const tells = this.options.tells?.(position) ?? true;
    if (this.maxRejectionsPerS === undefined || !tells) return lines;
    return [...lines, `Brittle: ${this.maxRejectionsPerS}`];
  }

  private run(
    position: number,
    work: Work,
    socket: Socket,
    lines: readonly string[],
  ): void {
    work.running += 1;
    const runMs = uniformInt(this.random, RUN_MIN_MS, RUN_MAX_MS);
    setTimeout(() => {
      if (this.work[position] !== work) return;
      work.running -= 1;
      socket.write(completeResponse('done', lines));
      work.waiting.shift()?.();
    }, runMs);
  }

  private reject(
    position: number,
    work: Work,
    socket: Socket,
    lines: readonly string[],
  ): void {
    const nowMs = performance.now();
    this.rejectedAtMs.push(nowMs);
    const rejection = [...lines, 'Not-Run: 1'];
    socket.write(completeResponse('', rejection, '503 Busy'));
    work.rejectedAtMs = work.rejectedAtMs.filter(
      atMs => nowMs - atMs < WINDOW_MS,
    );
    work.rejectedAtMs.push(nowMs);
    const {maxRejectionsPerS = Number.POSITIVE_INFINITY} = this;
    if (!this.isNoticeOver && this.options.endsAtOnce !== true) return;
    if (work.rejectedAtMs.length <= maxRejectionsPerS) return;
    this.fallsAtMs.push(nowMs);
    this.end(position);
  }

  /** Ends the target at this position, with its work. */
  end(position: number): void {
    this.work[position] = new Work();
    this.targets.crash(position);
  }
}

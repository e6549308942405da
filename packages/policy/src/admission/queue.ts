/**
 * The requests that wait for an engine of one service, in the order in which
 * they are served. Requests that can still be served in time go before overdue
 * ones, then the most urgent priority, then the earliest due time; a workspace
 * that asks for more than its part of the freed KV cache goes behind the others.
 *
 * Adding, removing and finding the next request take logarithmic time in the
 * number of requests.
 */
import type {RequestId} from '@samphirefield/core';
import {Line, sizeClassOf} from './line.js';
import {OrderedSet} from './ordered-set.js';
import type {AdmissionRequest, Waiting} from './types.js';
import {longestWaitMs} from './work.js';

/** Requests of a workspace that exceeds its part are put back by at most this. */
const MAX_PUT_BACK_MS = 1_500;
/**
 * Among requests of about the same due time the smaller goes first, as more of
 * them are served. With 1 ms a token, the largest tenth of the requests was
 * served half as often.
 */
const PUT_BACK_MS_PER_TOKEN = 0.2;
const MS_PER_S = 1_000;

interface PriorityLines<R extends AdmissionRequest> {
  readonly priority: number;
  readonly inTime: Line<R>;
  readonly overdue: Line<R>;
}

/** The waiting requests of one workspace and priority. */
interface WorkspaceFlow {
  waiting: number;
  /** Until when its requests use its part of the freed KV cache. */
  usedUntilMs: number;
}

function flowOf({workspace, priority}: AdmissionRequest): string {
  return `${priority}/${workspace ?? ''}`;
}

export class AdmissionQueue<R extends AdmissionRequest> {
  private readonly items = new Map<RequestId, Waiting<R>>();
  /** Sorted by priority. */
  private lines: Array<PriorityLines<R>> = [];
  private readonly byDue = new OrderedSet<Waiting<R>>(item => item.dueAtMs);
  private readonly byOverdue = new OrderedSet<Waiting<R>>(item =>
    Math.max(item.dueAtMs, item.sinceMs),
  );
  private readonly byEnd = new OrderedSet<Waiting<R>>(item => item.endsAtMs);
  private readonly flows = new Map<string, WorkspaceFlow>();
  private nextSequence = 0;

  get size(): number {
    return this.items.size;
  }

  has(request: RequestId): boolean {
    return this.items.has(request);
  }

  /** `freedPerS`: KV tokens that become free each second, if known. */
  add(
    request: R,
    firstAskedAtMs: number,
    nowMs: number,
    freedPerS: number | undefined,
  ): void {
    const dueAtMs = firstAskedAtMs + request.inTimeMs;
    const item: Waiting<R> = {
      request,
      sequence: this.nextSequence,
      sinceMs: nowMs,
      firstAskedAtMs,
      dueAtMs,
      endsAtMs: nowMs + longestWaitMs(request),
      orderKey: this.takeOrderKey(request, dueAtMs, nowMs, freedPerS),
      isOverdue: dueAtMs < nowMs,
    };
    this.nextSequence += 1;
    this.items.set(request.request, item);
    this.lineOf(item).add(item);
    (item.isOverdue ? this.byOverdue : this.byDue).add(item);
    this.byEnd.add(item);
  }

  find(request: RequestId): Waiting<R> | undefined {
    return this.items.get(request);
  }

  remove(request: RequestId): R | undefined {
    const item = this.items.get(request);
    if (item === undefined) return undefined;
    this.items.delete(request);
    this.lineOf(item).remove(item);
    (item.isOverdue ? this.byOverdue : this.byDue).remove(item);
    this.byEnd.remove(item);
    const name = flowOf(item.request);
    const flow = this.flows.get(name);
    if (flow) flow.waiting -= 1;
    if (flow?.waiting === 0) this.flows.delete(name);
    return item.request;
  }

  /**
   * The requests whose wait is over, and those that have waited for `maxWaitMs`
   * while no engine is usable for them (`hasNone`).
   */
  endedWithoutTarget(
    nowMs: number,
    maxWaitMs: (request: R) => number,
    hasNone: (request: R) => boolean,
  ): R[] {
    return [...this.items.values()]
      .filter(
        ({request, sinceMs, endsAtMs}) =>
          endsAtMs <= nowMs ||
          (nowMs - sinceMs >= maxWaitMs(request) && hasNone(request)),
      )
      .map(({request}) => request);
  }

  /** All requests that wait, in the order of their arrival. */
  *requests(): Iterable<R> {
    for (const {request} of this.items.values()) yield request;
  }

  /**
   * The request in time that is due first, if it has waited for at least this
   * share of its `inTimeMs`.
   */
  longestHeld(share: number, nowMs: number): Waiting<R> | undefined {
    const item = this.byDue.first;
    if (item === undefined) return undefined;
    const waitedMs = nowMs - item.firstAskedAtMs;
    return waitedMs >= item.request.inTimeMs * share ? item : undefined;
  }

  /** The requests that have waited as overdue ones for at least this time. */
  overdueFor(timeMs: number, nowMs: number): R[] {
    const found: R[] = [];
    for (const {request, dueAtMs, sinceMs} of this.byOverdue) {
      if (nowMs - Math.max(dueAtMs, sinceMs) < timeMs) break;
      found.push(request);
    }
    return found;
  }

  /** The requests whose wait is over. */
  ended(nowMs: number): R[] {
    const ended: R[] = [];
    for (const item of this.byEnd) {
      if (item.endsAtMs > nowMs) break;
      ended.push(item.request);
    }
    return ended;
  }

  /** Whether a request in time of at least this urgency waits. */
  hasInTime(priority: number): boolean {
    return this.lines.some(
      line => line.priority <= priority && line.inTime.size > 0,
    );
  }

  /** KV tokens of the requests that are served before one that arrives now. */
  tokensAhead(priority: number): number {
    let tokens = 0;
    for (const line of this.lines) {
      if (line.priority <= priority) tokens += line.inTime.kvTokens;
    }
    return tokens;
  }

  /** KV tokens of the overdue requests of at least this urgency. */
  overdueTokensAhead(priority: number): number {
    let tokens = 0;
    for (const line of this.lines) {
      if (line.priority <= priority) tokens += line.overdue.kvTokens;
    }
    return tokens;
  }

  counts(): ReadonlyMap<number, number> {
    return new Map(
      this.lines.map(({priority, inTime, overdue}) => [
        priority,
        inTime.size + overdue.size,
      ]),
    );
  }

  /**
   * Offers requests in their order: `tryStart` returns whether it started the
   * request, which is then removed. Where one does not fit, smaller ones of its
   * priority may.
   */
  offer(tryStart: (item: Waiting<R>) => boolean, nowMs: number): void {
    this.moveOverdue(nowMs);
    for (const {inTime} of this.lines) this.offerLine(inTime, tryStart);
    for (const {overdue} of this.lines) this.offerLine(overdue, tryStart);
  }

  private offerLine(
    line: Line<R>,
    tryStart: (item: Waiting<R>) => boolean,
  ): void {
    let blockedClass = Number.POSITIVE_INFINITY;
    while (line.size > 0) {
      const next = this.tryHeads(line, blockedClass, tryStart);
      if (next.started === undefined) return;
      blockedClass = next.blockedClass;
      this.remove(next.started.request.request);
    }
  }

  private tryHeads(
    line: Line<R>,
    blockedBefore: number,
    tryStart: (item: Waiting<R>) => boolean,
  ): {started: Waiting<R> | undefined; blockedClass: number} {
    let blockedClass = blockedBefore;
    for (const item of line.heads()) {
      const sizeClass = sizeClassOf(item.request);
      if (sizeClass >= blockedClass) continue;
      if (tryStart(item)) return {started: item, blockedClass};
      blockedClass = sizeClass;
    }
    return {started: undefined, blockedClass};
  }

  /** Puts the requests whose due time has passed behind the others. */
  moveOverdue(nowMs: number): Array<Waiting<R>> {
    const moved: Array<Waiting<R>> = [];
    for (;;) {
      const item = this.byDue.first;
      if (item === undefined || item.dueAtMs >= nowMs) return moved;
      moved.push(item);
      this.byDue.remove(item);
      this.lineOf(item).remove(item);
      item.isOverdue = true;
      this.byOverdue.add(item);
      this.lineOf(item).add(item);
    }
  }

  /**
   * Counts the request for its workspace and returns its order key: the due
   * time, put back by the size of the request, and for a workspace whose earlier
   * requests of the same priority already use its part of the freed KV cache.
   */
  private takeOrderKey(
    request: R,
    dueAtMs: number,
    nowMs: number,
    freedPerS: number | undefined,
  ): number {
    const name = flowOf(request);
    const flow = this.flows.get(name) ?? {waiting: 0, usedUntilMs: nowMs};
    this.flows.set(name, flow);
    flow.waiting += 1;
    const aheadMs = Math.max(0, flow.usedUntilMs - nowMs);
    const partPerMs = (freedPerS ?? 0) / MS_PER_S / this.flows.size;
    const tokensMs = partPerMs > 0 ? request.kvTokens / partPerMs : 0;
    flow.usedUntilMs = nowMs + aheadMs + tokensMs;
    return (
      dueAtMs +
      request.kvTokens * PUT_BACK_MS_PER_TOKEN +
      Math.min(MAX_PUT_BACK_MS, aheadMs)
    );
  }

  private linesOf(priority: number): PriorityLines<R> {
    const known = this.lines.find(line => line.priority === priority);
    if (known) return known;
    const added = {
      priority,
      inTime: new Line<R>(),
      overdue: new Line<R>(),
    };
    this.lines = [...this.lines, added].sort((a, b) => a.priority - b.priority);
    return added;
  }

  private lineOf({request, isOverdue}: Waiting<R>): Line<R> {
    const {inTime, overdue} = this.linesOf(request.priority);
    return isOverdue ? overdue : inTime;
  }
}

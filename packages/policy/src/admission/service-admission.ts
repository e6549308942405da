/**
 * Admission control of one service of engines: which request starts next, which
 * one is refused at once and when its caller should return, and how much room
 * stays free for runs that have to leave their engine and for urgent requests.
 * "Room" is free KV cache. The current time and all events are passed in.
 */
import {PrefillPace} from './pace.js';
import {AdmissionQueue} from './queue.js';
import {TokenRate} from './rate.js';
import {Returns} from './returns.js';
import type {AdmissionRequest, ArrivalDecision, Waiting} from './types.js';
import {endsInNotice, longestWaitMs} from './work.js';

const MS_PER_S = 1_000;
/**
 * As much room stays free as more urgent requests ask for in this time, which
 * bridges the time between the ends of two long runs.
 */
const URGENT_ROOM_MS = 200;
/**
 * Overdue requests leave this share of all room free: a late response is worth
 * a tenth to a quarter of one in time, and would hold its room for 10 s.
 */
const OVERDUE_ROOM_SHARE = 0.25;
/** Urgent arrivals leave at least this share of the freed room to others. */
const LEAST_RATE_SHARE = 0.15;
/**
 * Overdue requests are expected to get at least this share of the freed room;
 * the room that they get is called slack.
 */
const LEAST_SLACK_SHARE = 0.05;
/**
 * If no overdue request has started for this time, those that have been overdue
 * for as long are refused. Waves of overload are shorter than this, so the load
 * is not about to fall.
 */
const STALLED_MS = 6_000;
/**
 * Slot of the measured slack. Waves of overload last some seconds, so slack is
 * measured over a longer time (20 slots).
 */
const SLACK_SLOT_MS = 1_000;
/**
 * Share of the shortest wait in time that an engine may still prefill when it
 * gets another prompt. Engines prefill in the order of arrival, so what waits
 * there cannot be ordered by urgency any more.
 */
const BACKLOG_SHARE = 0.6;

/** The load of the engines of a service, as the dispatcher counts it. */
export interface EngineLoad {
  /** Free KV cache, of each engine in whole pieces of a usual request's size. */
  readonly freeTokens: number;
  readonly totalTokens: number;
  /** KV cache of the runs on engines that are leaving. */
  readonly leavingTokens: number;
}

export class ServiceAdmission<R extends AdmissionRequest> {
  readonly queue = new AdmissionQueue<R>();
  readonly prefill = new PrefillPace();
  private readonly freed = new TokenRate();
  /** Room that overdue requests took. */
  private readonly takenLate = new TokenRate(SLACK_SLOT_MS);
  private lastLateStartMs = 0;
  private readonly returns = new Returns();
  private readonly arrived = new Map<number, TokenRate>();
  /** The shortest time in which requests of a priority are due. */
  private readonly dueInMs = new Map<number, number>();

  /** Returns when the caller asked first: earlier if it was refused then. */
  recordArrival(request: R, nowMs: number): number {
    const {priority, kvTokens, inTimeMs} = request;
    const rate = this.arrived.get(priority) ?? new TokenRate();
    this.arrived.set(priority, rate);
    rate.record(kvTokens, nowMs);
    const knownMs = this.dueInMs.get(priority) ?? inTimeMs;
    this.dueInMs.set(priority, Math.min(inTimeMs, knownMs));
    return this.returns.takeFirstAsked(request, nowMs);
  }

  /** Records room that became free; negative if runs that moved took it. */
  recordFreed(kvTokens: number, nowMs: number): void {
    this.freed.record(kvTokens, nowMs);
  }

  /** Records a started request; what overdue ones take is the slack. */
  recordStart({request, isOverdue}: Waiting<R>, nowMs: number): void {
    this.takenLate.record(isOverdue ? request.kvTokens : 0, nowMs);
    if (isOverdue) this.lastLateStartMs = nowMs;
  }

  /** Remembers a refused request, whose caller may return. */
  recordRefusal(request: R, firstAskedAtMs: number): void {
    this.returns.recordRefusal(request, firstAskedAtMs);
  }

  add(request: R, firstAskedAtMs: number, nowMs: number): void {
    this.queue.add(request, firstAskedAtMs, nowMs, this.freed.perS(nowMs));
  }

  /** Decides on a request that cannot start now. */
  decideArrival(
    request: R,
    firstAskedAtMs: number,
    nowMs: number,
  ): ArrivalDecision {
    const waitMs = this.waitInTimeMs(request.priority, nowMs);
    const leftInTimeMs = firstAskedAtMs + request.inTimeMs - nowMs;
    if (waitMs === undefined || waitMs <= leftInTimeMs) {
      return {kind: 'wait', expectedWaitMs: waitMs};
    }
    return this.decideLate(request, longestWaitMs(request), nowMs);
  }

  /** Overdue requests that are not expected to be served. */
  giveUpOverdue(nowMs: number): R[] {
    const isStalled = nowMs - this.lastLateStartMs >= STALLED_MS;
    const stalled = isStalled ? this.queue.overdueFor(STALLED_MS, nowMs) : [];
    return [...stalled, ...this.giveUpNewlyOverdue(nowMs)];
  }

  private giveUpNewlyOverdue(nowMs: number): R[] {
    return this.queue
      .moveOverdue(nowMs)
      .filter(({request, endsAtMs}) => {
        const decision = this.decideLate(request, endsAtMs - nowMs, nowMs);
        return decision.kind === 'refuse';
      })
      .map(({request}) => request);
  }

  /**
   * When a request that is refused now would be served; undefined while there
   * is no basis for an estimate.
   */
  retryAfterMs({priority}: R, nowMs: number): number | undefined {
    return this.lateWaitMs(priority, nowMs);
  }

  /** Whether the request may take room now, so that enough stays free. */
  mayTakeRoom(
    request: R,
    isOverdue: boolean,
    load: EngineLoad,
    nowMs: number,
  ): boolean {
    const leavingTokens = endsInNotice(request) ? 0 : load.leavingTokens;
    const urgentPerS = this.urgentPerS(request.priority, nowMs);
    const keptTokens =
      leavingTokens +
      (urgentPerS * URGENT_ROOM_MS) / MS_PER_S +
      (isOverdue ? load.totalTokens * OVERDUE_ROOM_SHARE : 0);
    return keptTokens === 0 || load.freeTokens - request.kvTokens >= keptTokens;
  }

  /** An engine with more prompts than this to prefill gets no request in time. */
  maxBacklogMs({priority}: R): number {
    let dueInMs = Number.POSITIVE_INFINITY;
    for (const [other, inMs] of this.dueInMs) {
      if (other <= priority) dueInMs = Math.min(dueInMs, inMs);
    }
    return dueInMs * BACKLOG_SHARE;
  }

  private decideLate(
    request: R,
    longestMs: number,
    nowMs: number,
  ): ArrivalDecision {
    const waitMs = this.lateWaitMs(request.priority, nowMs);
    if (waitMs === undefined || waitMs <= longestMs) {
      return {kind: 'wait', expectedWaitMs: waitMs};
    }
    return {kind: 'refuse', retryAfterMs: waitMs};
  }

  /** The wait of a request that is in time. */
  private waitInTimeMs(priority: number, nowMs: number): number | undefined {
    const freedPerS = this.freed.perS(nowMs);
    if (freedPerS === undefined || freedPerS <= 0) return undefined;
    const usablePerS = Math.max(
      freedPerS - this.urgentPerS(priority, nowMs),
      freedPerS * LEAST_RATE_SHARE,
    );
    return (this.queue.tokensAhead(priority) / usablePerS) * MS_PER_S;
  }

  /** The wait of a request that is or will be overdue. */
  private lateWaitMs(priority: number, nowMs: number): number | undefined {
    const freedPerS = this.freed.perS(nowMs);
    const inTimeMs = this.waitInTimeMs(priority, nowMs);
    if (freedPerS === undefined || inTimeMs === undefined) return undefined;
    const slackPerS = Math.max(
      this.takenLate.perS(nowMs) ?? 0,
      freedPerS * LEAST_SLACK_SHARE,
    );
    const overdueTokens = this.queue.overdueTokensAhead(priority);
    return inTimeMs + (overdueTokens / slackPerS) * MS_PER_S;
  }

  /** KV tokens a second that more urgent requests ask for. */
  private urgentPerS(priority: number, nowMs: number): number {
    let sum = 0;
    for (const [other, rate] of this.arrived) {
      if (other < priority) sum += rate.perS(nowMs) ?? 0;
    }
    return sum;
  }
}

/**
 * Admission control of one service of engines: which request starts next, which
 * one is refused at once and when its caller should return, and how much room
 * stays free for runs that have to leave their engine and for urgent requests.
 * It takes the time as a parameter and learns only from what it is told.
 */
import {AdmissionQueue} from './queue.js';
import {TokenRate} from './rate.js';
import type {AdmissionRequest, ArrivalDecision} from './types.js';
import {expectedRunMs, longestWaitMs} from './work.js';

const MS_PER_S = 1_000;
/**
 * A run that ends within this time gives its room back before an engine that
 * leaves now has stopped: the shortest notice is 1.5 s.
 */
const NOTICE_MS = 1_500;
/**
 * Room for this much time of the urgent arrivals stays free, which bridges the
 * time between two ends of long runs.
 */
const URGENT_ROOM_MS = 250;
/** Urgent arrivals leave at least this share of the freed room to others. */
const LEAST_RATE_SHARE = 0.15;
/** Share of the time until a request is due that engines may still prefill. */
const BACKLOG_SHARE = 0.5;

/** The load of the engines, as the dispatcher counts it. */
export interface EngineLoad {
  /** Free KV cache in pieces of a usual request's size. */
  readonly freeTokens: number;
  /** KV cache of the runs on engines that are leaving. */
  readonly leavingTokens: number;
}

export class ServiceAdmission<R extends AdmissionRequest> {
  readonly queue = new AdmissionQueue<R>();
  private readonly freed = new TokenRate();
  private readonly arrived = new Map<number, TokenRate>();
  /** The shortest time in which requests of a priority are due. */
  private readonly dueInMs = new Map<number, number>();

  recordArrival({priority, kvTokens, inTimeMs}: R, nowMs: number): void {
    const rate = this.arrived.get(priority) ?? new TokenRate();
    this.arrived.set(priority, rate);
    rate.record(kvTokens, nowMs);
    this.dueInMs.set(
      priority,
      Math.min(inTimeMs, this.dueInMs.get(priority) ?? inTimeMs),
    );
  }

  /** Room that became free for requests; negative: runs that moved took it. */
  recordFreed(kvTokens: number, nowMs: number): void {
    this.freed.record(kvTokens, nowMs);
  }

  add(request: R, nowMs: number): void {
    this.queue.add(request, nowMs, this.freed.perS(nowMs));
  }

  /** Decides on a request that cannot start now. */
  decideArrival(request: R, nowMs: number): ArrivalDecision {
    const waitMs = this.expectedWaitMs(request, nowMs);
    if (waitMs === undefined || waitMs <= longestWaitMs(request)) {
      return {kind: 'wait', expectedWaitMs: waitMs};
    }
    return {kind: 'refuse', expectedWaitMs: waitMs, retryAfterMs: waitMs};
  }

  /** Undefined while there is no basis for an estimate. */
  expectedWaitMs({priority}: R, nowMs: number): number | undefined {
    const freedPerS = this.freed.perS(nowMs);
    if (freedPerS === undefined || freedPerS <= 0) return undefined;
    const urgentPerS = this.urgentPerS(priority, nowMs);
    const usablePerS = Math.max(
      freedPerS - urgentPerS,
      freedPerS * LEAST_RATE_SHARE,
    );
    return (this.queue.tokensAhead(priority) / usablePerS) * MS_PER_S;
  }

  /** Whether the request may take room now, so that enough stays free. */
  mayTakeRoom(request: R, load: EngineLoad, nowMs: number): boolean {
    const keptTokens = this.keptTokens(request, load, nowMs);
    return keptTokens === 0 || load.freeTokens - request.kvTokens >= keptTokens;
  }

  /** An engine with more prompts than this to prefill gets no request. */
  maxBacklogMs({priority}: R): number {
    let dueInMs = Number.POSITIVE_INFINITY;
    for (const [other, inMs] of this.dueInMs) {
      if (other <= priority) dueInMs = Math.min(dueInMs, inMs);
    }
    return dueInMs * BACKLOG_SHARE;
  }

  private keptTokens(request: R, load: EngineLoad, nowMs: number): number {
    const endsInNotice = expectedRunMs(request) <= NOTICE_MS;
    const leavingTokens = endsInNotice ? 0 : load.leavingTokens;
    const urgentPerS = this.urgentPerS(request.priority, nowMs);
    return leavingTokens + (urgentPerS * URGENT_ROOM_MS) / MS_PER_S;
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

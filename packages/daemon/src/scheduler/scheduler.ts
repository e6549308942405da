/**
 * Admits requests to targets: queues them fairly, chooses a target for the
 * first ones that fit into this entry's allotments, and keeps count.
 */
import {err, ok, type Result} from 'neverthrow';
import {
  priorityOf,
  type Fingerprint,
  type Logger,
  type RequestId,
  type ServiceId,
  type Settings,
  type WorkspaceId,
} from '@samphirefield/core';
import {
  AGING_INTERVAL_MS,
  chooseTarget,
  createQueue,
  enqueue,
  headsInOrder,
  overdueRequests,
  removeRequest,
  dequeue,
  targetsWithPrefix,
  waitingCount,
  type Demand,
  type FairQueue,
  type RouteDecision,
  type RunnerUp,
  type StampedRequest,
} from '@samphirefield/policy';
import type {Clock} from '../clock/index.js';
import {
  addRun,
  candidatesFor,
  hasViewLease,
  histogramFor,
  estimateKvTokens,
  refreshKvEstimates,
  removeRun,
  effectiveSuspicion,
  type EntryTables,
  type ActiveRun,
} from '../entry/index.js';
import type {Admission, AdmissionError, AdmissionRequest} from './types.js';

/** A blocked request this old is not overtaken any more by its neighbours. */
const HOLD_PLACE_AFTER_MS = 2 * AGING_INTERVAL_MS;
/** Ticks over which the estimates of all streams are refreshed once. */
const ESTIMATE_SLICES = 10;
/** No single request asks for more of a target's memory than this share. */
const MAX_KV_SHARE = 0.5;

interface QueueBounds {
  readonly maxQueue: number;
  readonly maxOfWorkspace: number;
}

interface Waiter {
  readonly request: AdmissionRequest;
  readonly kvNeedTokens: number;
  readonly resolve: (result: Result<Admission, AdmissionError>) => void;
  readonly onAbort: () => void;
}

export interface SchedulerOptions {
  readonly tables: EntryTables;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly limits: Settings['limits'];
  /** Asks the leader for more room soon. */
  readonly requestCapacity: () => void;
}

const describeRunnersUp = (runnersUp: readonly RunnerUp[]): string =>
  runnersUp.map(item => `${item.target}:${item.reason}`).join(',') || 'none';

export class Scheduler {
  private readonly queues = new Map<ServiceId, FairQueue>();
  private readonly waiters = new Map<RequestId, Waiter>();
  private readonly runningByService = new Map<ServiceId, number>();
  private readonly runningByWorkspace = new Map<string, number>();
  private slice = 0;

  constructor(private readonly options: SchedulerOptions) {}

  /** Requests that wait, over all services. */
  get waitingCount(): number {
    return this.waiters.size;
  }

  /** Resolves once the request has a place on a target. */
  acquire(
    request: AdmissionRequest,
  ): Promise<Result<Admission, AdmissionError>> {
    const refusal = this.refusalOf(request);
    if (refusal) return Promise.resolve(err(refusal));
    return new Promise(resolve => {
      const kvNeedTokens = this.kvNeed(request);
      const queued = this.enqueue(request, kvNeedTokens);
      if (queued.isErr()) {
        resolve(err(queued.error));
        return;
      }
      const onAbort = () => this.giveUp(request);
      request.signal.addEventListener('abort', onAbort, {once: true});
      this.waiters.set(request.requestId, {
        request,
        kvNeedTokens,
        resolve,
        onAbort,
      });
      this.dispatch();
      this.shedOverflow(request);
      if (this.waiters.has(request.requestId)) this.options.requestCapacity();
    });
  }

  /** Gives the place back; `isFinished` when the target did the work. */
  release(admission: Admission, isFinished: boolean): void {
    const {run, target} = admission;
    if (!removeRun(this.options.tables, run)) return;
    const isSameRun = target.view.incarnation === run.incarnation;
    if (isFinished && isSameRun) target.finishedRuns += 1;
    this.count(run, -1);
    this.dispatch();
  }

  /** What waits for room, for the leader. */
  demand(): readonly Demand[] {
    const demands: Demand[] = [];
    const nowMs = this.options.clock.nowMs();
    for (const [service, queue] of this.queues) {
      if (queue.size === 0) continue;
      const needs = headsInOrder(queue, nowMs).map(
        head => this.waiters.get(head.request)?.kvNeedTokens ?? 0,
      );
      const kvNeedTokens = Math.max(0, ...needs);
      demands.push({service, waiting: queue.size, kvNeedTokens});
    }
    return demands;
  }

  tick(): void {
    this.slice = (this.slice + 1) % ESTIMATE_SLICES;
    refreshKvEstimates(this.options.tables, this.slice, ESTIMATE_SLICES);
    const nowMs = this.options.clock.nowMs();
    for (const queue of this.queues.values()) {
      for (const late of overdueRequests(
        queue,
        nowMs,
        this.options.limits.queue_wait_ms,
      )) {
        const waiter = this.waiters.get(late.request);
        const waitedMs = nowMs - late.enqueuedAtMs;
        if (waiter) this.refuse(waiter, {kind: 'waited_too_long', waitedMs});
      }
    }
    this.dispatch();
  }

  /** Starts every waiting request that has room now. */
  dispatch(): void {
    const nowMs = this.options.clock.nowMs();
    if (!hasViewLease(this.options.tables, nowMs)) return;
    for (const queue of this.queues.values()) {
      while (this.startOne(queue, nowMs));
    }
  }

  private refusalOf(request: AdmissionRequest): AdmissionError | undefined {
    const {tables, clock} = this.options;
    if (!hasViewLease(tables, clock.nowMs())) return {kind: 'no_view_lease'};
    if (effectiveSuspicion(tables, request.fingerprint) === 'quarantined') {
      return {kind: 'quarantined'};
    }
    return request.signal.aborted ? {kind: 'caller_left'} : undefined;
  }

  private kvNeed(request: AdmissionRequest): number {
    const {tables} = this.options;
    if (request.maxOutputTokens === 0) return 0;
    const histogram = histogramFor(
      tables,
      request.service.service,
      request.workspace.workspace,
    );
    const need = estimateKvTokens(
      histogram,
      request.promptTokens,
      0,
      request.maxOutputTokens,
    );
    const largest = Math.max(
      0,
      ...[...tables.targets.values()]
        .filter(row => row.view.service === request.service.service)
        .map(row => row.view.kvTokens),
    );
    return Math.min(need, Math.floor(largest * MAX_KV_SHARE) || need);
  }

  private queueBounds(request: AdmissionRequest): QueueBounds {
    const {tables, limits} = this.options;
    const {service, workspace} = request;
    const limit = tables.rules.limits.find(
      rule =>
        rule.workspace === workspace.workspace &&
        (rule.service === undefined || rule.service === service.service),
    );
    return {
      maxQueue: Math.min(service.maxQueue, limits.queue_per_service),
      maxOfWorkspace: limit?.maxQueue ?? Number.MAX_SAFE_INTEGER,
    };
  }

  private enqueue(request: AdmissionRequest, kvNeedTokens: number) {
    const {tables, clock} = this.options;
    const {service, workspace} = request;
    const queue = this.queues.get(service.service) ?? createQueue();
    this.queues.set(service.service, queue);
    const {maxQueue, maxOfWorkspace} = this.queueBounds(request);
    return enqueue(
      queue,
      {
        request: request.requestId,
        workspace: workspace.workspace,
        weight: workspace.weight,
        priority: priorityOf(
          tables.rules,
          workspace.workspace,
          service.service,
        ),
        costTokens: Math.max(1, kvNeedTokens),
        enqueuedAtMs: clock.nowMs(),
      },
      // One more than may wait: it may find room at once.
      maxQueue + 1,
      maxOfWorkspace + 1,
    );
  }

  /** Refuses the newest request when it found no room and the queue is full. */
  private shedOverflow(request: AdmissionRequest): void {
    const waiter = this.waiters.get(request.requestId);
    const queue = this.queues.get(request.service.service);
    if (!waiter || !queue) return;
    const {maxQueue, maxOfWorkspace} = this.queueBounds(request);
    const waitingHere = waitingCount(queue, request.workspace.workspace);
    if (queue.size > maxQueue) {
      this.refuse(waiter, {kind: 'queue_full', limit: maxQueue});
    } else if (waitingHere > maxOfWorkspace) {
      this.refuse(waiter, {
        kind: 'workspace_queue_full',
        limit: maxOfWorkspace,
      });
    }
  }

  private startOne(queue: FairQueue, nowMs: number): boolean {
    for (const head of headsInOrder(queue, nowMs)) {
      const waiter = this.waiters.get(head.request);
      if (waiter === undefined) {
        removeRequest(queue, head.workspace, head.request);
        return true;
      }
      if (this.tryStart(queue, head, waiter, nowMs)) return true;
      if (nowMs - head.enqueuedAtMs > HOLD_PLACE_AFTER_MS) return false;
    }
    return false;
  }

  private tryStart(
    queue: FairQueue,
    head: StampedRequest,
    waiter: Waiter,
    nowMs: number,
  ): boolean {
    const {tables} = this.options;
    const {request} = waiter;
    const suspicion = effectiveSuspicion(tables, request.fingerprint);
    if (suspicion === 'quarantined') {
      this.refuse(waiter, {kind: 'quarantined'});
      return true;
    }
    const isSuspect = suspicion === 'suspect';
    if (isSuspect && !this.hasTurn(request.fingerprint)) return false;
    if (this.isAtLimit(request)) return false;
    const decision = this.decide(waiter, isSuspect, nowMs);
    if (decision.kind === 'none') return false;
    dequeue(queue, head);
    this.admit(waiter, decision, isSuspect, nowMs - head.enqueuedAtMs);
    return true;
  }

  private hasTurn(fingerprint: Fingerprint): boolean {
    const {tables} = this.options;
    tables.waitingSuspects.add(fingerprint);
    if (!tables.permittedSuspects.has(fingerprint)) {
      this.options.requestCapacity();
      return false;
    }
    return ![...tables.activeRuns.values()].some(run => run.isSuspect);
  }

  private isAtLimit(request: AdmissionRequest): boolean {
    const {service, workspace} = request;
    const running = this.runningByService.get(service.service) ?? 0;
    if (running >= service.maxConcurrency) return true;
    return this.options.tables.rules.limits.some(rule => {
      if (rule.workspace !== workspace.workspace) return false;
      if (rule.service !== undefined && rule.service !== service.service)
        return false;
      const key = workspaceKey(rule.workspace, rule.service);
      return (this.runningByWorkspace.get(key) ?? 0) >= rule.maxConcurrency;
    });
  }

  private decide(
    waiter: Waiter,
    isSuspect: boolean,
    nowMs: number,
  ): RouteDecision {
    const {tables} = this.options;
    const {request, kvNeedTokens} = waiter;
    const {prefix, excluded} = request;
    const list = candidatesFor(
      tables,
      request.service.service,
      request.model,
      request.modelVersion,
    );
    const cachedOn =
      prefix === '' ? undefined : targetsWithPrefix(tables.prefixCache, prefix);
    const routed = {kvNeedTokens, prefix, cachedOn, isSuspect, excluded};
    return chooseTarget(list, routed, nowMs);
  }

  private admit(
    waiter: Waiter,
    decision: Extract<RouteDecision, {kind: 'chosen'}>,
    isSuspect: boolean,
    waitedMs: number,
  ): void {
    const {tables, logger} = this.options;
    const {request, kvNeedTokens} = waiter;
    const target = tables.targets.get(decision.target)!;
    const run: ActiveRun = {
      requestId: request.requestId,
      workspace: request.workspace.workspace,
      service: request.service.service,
      target: decision.target,
      incarnation: target.view.incarnation,
      fingerprint: request.fingerprint,
      isSuspect,
      promptTokens: request.promptTokens,
      maxOutputTokens: request.maxOutputTokens,
      generatedTokens: 0,
      kvTokens: kvNeedTokens,
    };
    tables.waitingSuspects.delete(request.fingerprint);
    target.sentSinceView += 1;
    addRun(tables, run);
    this.count(run, 1);
    logger.info('route', {
      request: request.requestId,
      workspace: run.workspace,
      service: run.service,
      target: decision.target,
      reason: decision.reason,
      runners_up: describeRunnersUp(decision.runnersUp),
      waited_ms: waitedMs,
      kv_tokens: kvNeedTokens,
      suspect: isSuspect || undefined,
    });
    this.settle(waiter, ok({target, run}));
  }

  private count(run: ActiveRun, change: number): void {
    const {service, workspace} = run;
    add(this.runningByService, service, change);
    add(this.runningByWorkspace, workspaceKey(workspace, undefined), change);
    add(this.runningByWorkspace, workspaceKey(workspace, service), change);
  }

  private giveUp(request: AdmissionRequest): void {
    const waiter = this.waiters.get(request.requestId);
    if (waiter) this.refuse(waiter, {kind: 'caller_left'});
  }

  private refuse(waiter: Waiter, error: AdmissionError): void {
    const {request} = waiter;
    const queue = this.queues.get(request.service.service);
    if (queue)
      removeRequest(queue, request.workspace.workspace, request.requestId);
    this.options.tables.waitingSuspects.delete(request.fingerprint);
    this.options.logger.info('route_refused', {
      request: request.requestId,
      workspace: request.workspace.workspace,
      service: request.service.service,
      reason: error.kind,
    });
    this.settle(waiter, err(error));
  }

  private settle(
    waiter: Waiter,
    result: Result<Admission, AdmissionError>,
  ): void {
    this.waiters.delete(waiter.request.requestId);
    waiter.request.signal.removeEventListener('abort', waiter.onAbort);
    waiter.resolve(result);
  }
}

function workspaceKey(
  workspace: WorkspaceId,
  service: ServiceId | undefined,
): string {
  return `${workspace} ${service ?? ''}`;
}

function add<Key>(counts: Map<Key, number>, key: Key, change: number): void {
  const next = (counts.get(key) ?? 0) + change;
  if (next <= 0) counts.delete(key);
  else counts.set(key, next);
}

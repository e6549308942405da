/**
 * Admits requests to targets: queues them fairly, chooses a target for the
 * first ones that fit into this entry's allocations, and counts the runs.
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
  requestSuspicion,
  type EntryTables,
  type ActiveRun,
  recordSending,
} from '../entry/index.js';
import type {Admission, AdmissionError, AdmissionRequest} from './types.js';

/** After this wait, a blocked request isn't overtaken by later requests. */
const NO_OVERTAKING_AFTER_MS = 2 * AGING_INTERVAL_MS;
/** Ticks in which the estimates of all runs are refreshed once. */
const ESTIMATE_SLICES = 10;
/** Largest share of a target's KV cache that one request may ask for. */
const MAX_KV_SHARE = 0.5;

interface QueueBounds {
  readonly maxQueue: number;
  readonly maxPerWorkspace: number;
}

interface PendingRequest {
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
  /** Asks the leader for more capacity soon. */
  readonly requestCapacity: () => void;
}

const describeRunnersUp = (runnersUp: readonly RunnerUp[]): string =>
  runnersUp.map(item => `${item.target}:${item.reason}`).join(',') || 'none';

export class Scheduler {
  private readonly queues = new Map<ServiceId, FairQueue>();
  private readonly pending = new Map<RequestId, PendingRequest>();
  private readonly runningByService = new Map<ServiceId, number>();
  private readonly runningByWorkspace = new Map<string, number>();
  private slice = 0;

  constructor(private readonly options: SchedulerOptions) {}

  /** Number of waiting requests, over all services. */
  get waitingCount(): number {
    return this.pending.size;
  }

  /** Resolves once the request has a reservation on a target or is refused. */
  acquire(
    request: AdmissionRequest,
  ): Promise<Result<Admission, AdmissionError>> {
    const refusal = this.findRefusal(request);
    if (refusal) return Promise.resolve(err(refusal));
    return new Promise(resolve => {
      const kvNeedTokens = this.estimateKvNeed(request);
      const queued = this.enqueue(request, kvNeedTokens);
      if (queued.isErr()) {
        resolve(err(queued.error));
        return;
      }
      const onAbort = () => this.cancel(request);
      request.signal.addEventListener('abort', onAbort, {once: true});
      this.pending.set(request.requestId, {
        request,
        kvNeedTokens,
        resolve,
        onAbort,
      });
      this.dispatch();
      this.shedOverflow(request);
      if (this.pending.has(request.requestId)) this.options.requestCapacity();
    });
  }

  /** Releases the reservation; `isFinished`: the target completed the run. */
  release(admission: Admission, isFinished: boolean): void {
    const {run, target} = admission;
    if (!removeRun(this.options.tables, run)) return;
    const isSameIncarnation = target.view.incarnation === run.incarnation;
    if (isFinished && isSameIncarnation) target.finishedRuns += 1;
    this.count(run, -1);
    this.dispatch();
  }

  /** Waiting requests by service, to report to the leader. */
  demand(): readonly Demand[] {
    const demands: Demand[] = [];
    const nowMs = this.options.clock.nowMs();
    for (const [service, queue] of this.queues) {
      if (queue.size === 0) continue;
      const needs = headsInOrder(queue, nowMs).map(
        head => this.pending.get(head.request)?.kvNeedTokens ?? 0,
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
      for (const expired of overdueRequests(
        queue,
        nowMs,
        this.options.limits.queue_wait_ms,
      )) {
        const pending = this.pending.get(expired.request);
        const waitedMs = nowMs - expired.enqueuedAtMs;
        if (pending) this.refuse(pending, {kind: 'waited_too_long', waitedMs});
      }
    }
    this.dispatch();
  }

  /** Starts every waiting request that fits now. */
  dispatch(): void {
    const nowMs = this.options.clock.nowMs();
    if (!hasViewLease(this.options.tables, nowMs)) return;
    for (const queue of this.queues.values()) {
      while (this.startNext(queue, nowMs));
    }
  }

  private findRefusal(request: AdmissionRequest): AdmissionError | undefined {
    const {tables, clock} = this.options;
    if (!hasViewLease(tables, clock.nowMs())) return {kind: 'no_view_lease'};
    if (requestSuspicion(tables, request) === 'quarantined') {
      return {kind: 'quarantined'};
    }
    return request.signal.aborted ? {kind: 'caller_left'} : undefined;
  }

  private estimateKvNeed(request: AdmissionRequest): number {
    const {tables} = this.options;
    if (request.maxOutputTokens === 0) return 0;
    const histogram = histogramFor(
      tables,
      request.service.service,
      request.workspace.workspace,
    );
    const needTokens = estimateKvTokens(
      histogram,
      request.promptTokens,
      0,
      request.maxOutputTokens,
    );
    const largestTokens = Math.max(
      0,
      ...[...tables.targets.values()]
        .filter(row => row.view.service === request.service.service)
        .map(row => row.view.kvTokens),
    );
    return Math.min(
      needTokens,
      Math.floor(largestTokens * MAX_KV_SHARE) || needTokens,
    );
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
      maxPerWorkspace: limit?.maxQueue ?? Number.MAX_SAFE_INTEGER,
    };
  }

  private enqueue(request: AdmissionRequest, kvNeedTokens: number) {
    const {tables, clock} = this.options;
    const {service, workspace} = request;
    const queue = this.queues.get(service.service) ?? createQueue();
    this.queues.set(service.service, queue);
    const {maxQueue, maxPerWorkspace} = this.queueBounds(request);
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
      // One more than may wait: the new request may start at once.
      maxQueue + 1,
      maxPerWorkspace + 1,
    );
  }

  /** Refuses the newest request if it didn't start and the queue is full. */
  private shedOverflow(request: AdmissionRequest): void {
    const pending = this.pending.get(request.requestId);
    const queue = this.queues.get(request.service.service);
    if (!pending || !queue) return;
    const {maxQueue, maxPerWorkspace} = this.queueBounds(request);
    const waitingOfWorkspace = waitingCount(queue, request.workspace.workspace);
    if (queue.size > maxQueue) {
      this.refuse(pending, {kind: 'queue_full', limit: maxQueue});
    } else if (waitingOfWorkspace > maxPerWorkspace) {
      this.refuse(pending, {
        kind: 'workspace_queue_full',
        limit: maxPerWorkspace,
      });
    }
  }

  /** Returns whether a request was started, refused or dropped from the queue. */
  private startNext(queue: FairQueue, nowMs: number): boolean {
    for (const head of headsInOrder(queue, nowMs)) {
      const pending = this.pending.get(head.request);
      if (pending === undefined) {
        removeRequest(queue, head.workspace, head.request);
        return true;
      }
      if (this.tryStart(queue, head, pending, nowMs)) return true;
      if (nowMs - head.enqueuedAtMs > NO_OVERTAKING_AFTER_MS) return false;
    }
    return false;
  }

  private tryStart(
    queue: FairQueue,
    head: StampedRequest,
    pending: PendingRequest,
    nowMs: number,
  ): boolean {
    const {tables} = this.options;
    const {request} = pending;
    const suspicion = requestSuspicion(tables, request);
    if (suspicion === 'quarantined') {
      this.refuse(pending, {kind: 'quarantined'});
      return true;
    }
    const isSuspect = suspicion === 'suspect';
    if (isSuspect && !this.hasSuspectPermit(request.fingerprint)) return false;
    if (this.isAtLimit(request)) return false;
    const decision = this.routeRequest(pending, isSuspect, nowMs);
    if (decision.kind === 'none') return false;
    dequeue(queue, head);
    this.admit(pending, decision, isSuspect, nowMs - head.enqueuedAtMs);
    return true;
  }

  /** Whether the leader permits the suspect and this entry runs no suspect. */
  private hasSuspectPermit(fingerprint: Fingerprint): boolean {
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

  private routeRequest(
    pending: PendingRequest,
    isSuspect: boolean,
    nowMs: number,
  ): RouteDecision {
    const {tables} = this.options;
    const {request, kvNeedTokens} = pending;
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
    pending: PendingRequest,
    decision: Extract<RouteDecision, {kind: 'chosen'}>,
    isSuspect: boolean,
    waitedMs: number,
  ): void {
    const {tables, logger} = this.options;
    const {request, kvNeedTokens} = pending;
    const target = tables.targets.get(decision.target)!;
    const run: ActiveRun = {
      requestId: request.requestId,
      workspace: request.workspace.workspace,
      service: request.service.service,
      target: decision.target,
      incarnation: target.view.incarnation,
      fingerprint: request.fingerprint,
      promptParts: request.promptParts,
      isSuspect,
      promptTokens: request.promptTokens,
      maxOutputTokens: request.maxOutputTokens,
      generatedTokens: 0,
      kvTokens: kvNeedTokens,
    };
    tables.waitingSuspects.delete(request.fingerprint);
    target.sentSinceView += 1;
    recordSending(tables, target, this.options.clock.nowMs());
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
    this.settle(pending, ok({target, run}));
  }

  private count(run: ActiveRun, change: number): void {
    const {service, workspace} = run;
    add(this.runningByService, service, change);
    add(this.runningByWorkspace, workspaceKey(workspace, undefined), change);
    add(this.runningByWorkspace, workspaceKey(workspace, service), change);
  }

  private cancel(request: AdmissionRequest): void {
    const pending = this.pending.get(request.requestId);
    if (pending) this.refuse(pending, {kind: 'caller_left'});
  }

  private refuse(pending: PendingRequest, error: AdmissionError): void {
    const {request} = pending;
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
    this.settle(pending, err(error));
  }

  private settle(
    pending: PendingRequest,
    result: Result<Admission, AdmissionError>,
  ): void {
    this.pending.delete(pending.request.requestId);
    pending.request.signal.removeEventListener('abort', pending.onAbort);
    pending.resolve(result);
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

/**
 * The life of one request: route, workspace, body, a place on a target, the
 * sending, and another target where the kind of the request allows it.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import type {RequestId, ServiceId, TargetId} from '@samphirefield/core';
import type {RunOutcome} from '../dispatch/index.js';
import {KIND_TRAITS, pickService, type Route} from '../routes/index.js';
import type {UpstreamConnection} from '../upstream/index.js';
import type {ResponseSink} from './response-sink.js';
import {readBody} from './body.js';
import {RunSupervisor, type StreamContinuation} from './run-supervisor.js';
import {
  classifyResult,
  mayHaveRun,
  type NextStep,
  type Classification,
} from './classify-result.js';
import {statusOfLocalResponse, writeLocalResponse} from './local-response.js';
import {
  findEndpoint,
  newRunId,
  buildStartDemand,
  type AdmittedRequest,
  type Reservation,
} from './reservation.js';
import {serializeRequest} from './http-message.js';
import {startTargetAttempt, type TargetAttempt} from './target-attempt.js';
import type {
  GatewayDependencies,
  ActiveConfig,
  LocalResponse,
  RequestMetadata,
} from './types.js';

const CONNECT_TIMEOUT_MS = 400;
/** Sendings of one request, counting those that a target rejected. */
const MAX_SENDINGS = 4;
const RETRY_AFTER_MS = 400;
const RETRY_AFTER_SHARE = 0.3;
const CONFIG_WAIT_MAX_MS = 1_500;
const CONFIG_WAIT_SHARE = 0.6;
const CONFIG_POLL_MS = 25;
/** A pace of generation that is seldom undercut. */
const SLOW_TOKEN_MS = 14;
const DEFAULT_DEADLINE_MS = 60_000;
const MIN_LEFT_MS = 1;

export class Exchange {
  private readonly startedAtMs: number;
  private readonly facts: RequestMetadata;
  private endsAtMs: number;
  private isOver = false;
  private sending: TargetAttempt | undefined;
  private waitingRun: {request: RequestId; service: ServiceId} | undefined;
  private readonly excluded: TargetId[] = [];
  private runs = 0;
  private sendings = 0;
  private moves = 0;
  private waitedMs = 0;
  private startedAnswerAtMs: number | undefined;
  private lastTarget: TargetId | undefined;
  private lastRun: RequestId | undefined;
  private failure: ResponseSink | undefined;
  private service: ServiceId | undefined;

  constructor(
    private readonly parts: GatewayDependencies,
    private readonly req: IncomingMessage,
    private readonly res: ServerResponse,
  ) {
    this.startedAtMs = parts.nowMs();
    this.facts = parts.protocol.readRequest(req.headers);
    this.endsAtMs =
      this.startedAtMs + (this.facts.deadlineMs ?? DEFAULT_DEADLINE_MS);
  }

  async run(): Promise<void> {
    this.res.on('close', () => this.onClose());
    const admitted = await this.admit();
    if (admitted === undefined) return;
    this.service = admitted.service;
    const timeoutAtMs = this.startedAtMs + admitted.route.timeoutMs;
    this.endsAtMs = Math.min(this.endsAtMs, timeoutAtMs);
    const timer = setTimeout(() => this.onTimeout(), this.leftMs());
    try {
      await this.serve(admitted);
    } finally {
      clearTimeout(timer);
    }
  }

  private leftMs(): number {
    return this.endsAtMs - this.parts.nowMs();
  }

  /** A process that has just started learns the configuration in a moment. */
  private async waitForConfiguration(): Promise<ActiveConfig | undefined> {
    const {parts} = this;
    const untilMs =
      this.startedAtMs +
      Math.min(CONFIG_WAIT_MAX_MS, this.leftMs() * CONFIG_WAIT_SHARE);
    while (parts.activeConfig() === undefined && parts.nowMs() < untilMs) {
      await delay(CONFIG_POLL_MS);
    }
    return parts.activeConfig();
  }

  private async admit(): Promise<AdmittedRequest | undefined> {
    const inForce = await this.waitForConfiguration();
    if (this.isOver) return undefined;
    if (inForce === undefined) return this.refuse({kind: 'not_configured'});
    const {routeIndex: index, view} = inForce;
    const host = (this.req.headers.host ?? '').split(':')[0]!.toLowerCase();
    const path = (this.req.url ?? '/').split('?')[0]!;
    const route = index.findRoute(host, path);
    if (route === undefined) return this.refuse({kind: 'no_route'});
    const needsKey = index.needsKeys && !route.isPublic;
    const {apiKey: key} = this.facts;
    const workspace = key === undefined ? undefined : index.findWorkspace(key);
    if (needsKey && workspace === undefined) {
      return this.refuse({kind: 'unknown_key'});
    }
    const body = await readBody(this.req, view.table.limits.maxBodyBytes);
    if (body.isErr()) {
      if (body.error === 'too_large') this.refuse({kind: 'body_too_large'});
      return undefined;
    }
    if (!this.canFinishBeforeStop(route)) {
      return this.refuse({kind: 'not_run', reason: 'this process stops'});
    }
    return {
      route,
      service: pickService(route, this.parts.random()),
      workspace: workspace?.name,
      priority: workspace?.priority ?? route.priority,
      body: body.value,
    };
  }

  private canFinishBeforeStop(route: Route): boolean {
    const stopsAtMs = this.parts.stopsAtMs();
    if (stopsAtMs === undefined) return true;
    const {maxOutputTokens} = this.facts;
    const runMs = route.objectiveMs + maxOutputTokens * SLOW_TOKEN_MS;
    return this.parts.nowMs() + runMs < stopsAtMs;
  }

  /** Answers for the gateway, or with the failure that a target gave. */
  private refuse(answer: LocalResponse): undefined {
    if (this.isOver) return undefined;
    this.isOver = true;
    if (this.failure) {
      this.failure.end();
      this.log('served', this.failure.status);
      return undefined;
    }
    const shareMs = Math.max(0, this.leftMs()) * RETRY_AFTER_SHARE;
    if (!this.req.complete) this.res.setHeader('connection', 'close');
    writeLocalResponse(this.res, answer, Math.min(RETRY_AFTER_MS, shareMs));
    const reason = 'reason' in answer ? answer.reason : undefined;
    this.log(answer.kind, statusOfLocalResponse(answer), reason);
    return undefined;
  }

  private async serve(admitted: AdmittedRequest): Promise<void> {
    const {budget} = this.parts;
    budget.recordRequest(admitted.service);
    for (;;) {
      const step = await this.tryOnce(admitted);
      if (this.isOver) return;
      if (step.kind !== 'retry') {
        this.finish(step);
        return;
      }
      this.failure = step.failure ?? this.failure;
      const isSpent =
        this.sendings >= MAX_SENDINGS ||
        (step.counts && !budget.tryConsume(admitted.service));
      if (isSpent) {
        this.refuse(step.last);
        return;
      }
    }
  }

  private finish(step: Exclude<NextStep, {kind: 'retry'}>): void {
    if (step.kind === 'own') {
      this.refuse(step.answer);
      return;
    }
    this.isOver = true;
    if (step.kind === 'done') {
      this.log('served', step.status);
      return;
    }
    this.log('broken_off', 0);
    this.res.destroy();
  }

  /** One place on a target, and what came of it. */
  private async tryOnce(admitted: AdmittedRequest): Promise<NextStep> {
    const {parts, facts, excluded} = this;
    const {service} = admitted;
    const run = newRunId(parts);
    this.waitingRun = {request: run, service};
    const askedAtMs = parts.nowMs();
    const answer = await parts.reservations.reserve(
      buildStartDemand(parts, admitted, facts, run, excluded, this.leftMs()),
    );
    this.waitingRun = undefined;
    this.waitedMs += parts.nowMs() - askedAtMs;
    const finish = (outcome: RunOutcome) =>
      parts.reservations.release(run, service, outcome);
    if (answer.kind === 'refused') {
      return {kind: 'own', answer: {kind: 'not_run', reason: answer.reason}};
    }
    if (this.isOver) {
      finish('abandoned');
      return {kind: 'broken_off'};
    }
    this.lastTarget = answer.target;
    this.lastRun = run;
    excluded.push(answer.target);
    const holder = findEndpoint(parts.reservations, answer.target);
    const place = holder && {...holder, run};
    const {outcome, step} = await this.sendTo(place, admitted);
    finish(outcome);
    if (outcome !== 'served') this.logFailedTry(run, outcome, step);
    return step;
  }

  private async sendTo(
    place: Reservation | undefined,
    admitted: AdmittedRequest,
  ): Promise<Classification> {
    const notSent = (outcome: RunOutcome, reason: string): Classification => ({
      outcome,
      step: {kind: 'retry', last: {kind: 'not_run', reason}, counts: false},
    });
    if (place === undefined) {
      return notSent('abandoned', 'the target has gone');
    }
    this.sendings += 1;
    const timeoutMs = Math.min(CONNECT_TIMEOUT_MS, this.leftMs());
    const connection = await this.parts.pool.acquire(place.address, timeoutMs);
    if (connection === undefined) {
      return notSent('not_connected', 'the target cannot be reached');
    }
    if (this.isOver) {
      connection.destroy();
      return {outcome: 'abandoned', step: {kind: 'broken_off'}};
    }
    const sending = this.startSending(connection, admitted, place);
    const follower = new RunSupervisor({
      parts: this.parts,
      admitted,
      facts: this.facts,
      isOver: () => this.isOver,
      startAttempt: (nextConnection, next, goesOn) =>
        this.startSending(nextConnection, admitted, next, goesOn),
      onMoved: target => {
        this.moves += 1;
        this.lastTarget = target;
      },
    });
    const result = await follower.supervise(sending, place);
    this.startedAnswerAtMs = sending.sink()?.headSentAtMs;
    this.sending = undefined;
    if (mayHaveRun(result)) this.runs += 1;
    return classifyResult(result, admitted.route, this.runs);
  }

  private startSending(
    connection: UpstreamConnection,
    admitted: AdmittedRequest,
    place: Reservation,
    goesOn?: StreamContinuation,
  ): TargetAttempt {
    const {protocol} = this.parts;
    const ownHeaders = protocol.writeGatewayHeaders({
      target: place.target,
      workspace: admitted.workspace,
      remainingMs: Math.max(MIN_LEFT_MS, Math.floor(this.leftMs())),
      resume: goesOn?.resume,
      lastEventId: goesOn?.sink.events?.lastEventId,
    });
    const sending = startTargetAttempt({
      connection,
      request: serializeRequest(
        this.req,
        admitted.body,
        name => protocol.isForwardedHeader(name),
        ownHeaders,
      ),
      attemptId: this.facts.attemptId,
      res: this.res,
      protocol,
      isStreamed: KIND_TRAITS[admitted.route.kind].isStreamed,
      continuedSink: goesOn?.sink,
    });
    this.sending = sending;
    return sending;
  }

  private onClose(): void {
    if (this.res.writableFinished || this.isOver) return;
    this.isOver = true;
    this.log('caller_left', 0);
    this.abandon();
  }

  private onTimeout(): void {
    if (this.isOver) return;
    const {sending} = this;
    if (sending?.hasStarted()) {
      this.isOver = true;
      this.log('timed_out_midway', 0);
      this.res.destroy();
    } else if (sending) {
      this.refuse({kind: 'timed_out'});
    } else {
      this.refuse({kind: 'not_run', reason: 'no place in time'});
    }
    this.abandon();
  }

  private abandon(): void {
    this.sending?.cancel();
    const {waitingRun} = this;
    if (waitingRun === undefined) return;
    const {request, service} = waitingRun;
    this.parts.reservations.release(request, service, 'abandoned');
  }

  private logFailedTry(
    run: RequestId,
    outcome: RunOutcome,
    step: NextStep,
  ): void {
    const {parts, lastTarget} = this;
    const record = lastTarget && parts.reservations.findTarget(lastTarget);
    const answer = step.kind === 'retry' ? step.last : undefined;
    parts.logger.info('try_failed', {
      request: this.facts.attemptId,
      run,
      target: lastTarget,
      target_state: record?.announcement.state ?? 'unknown',
      target_age_ms: record && Math.round(parts.nowMs() - record.lastSeenAtMs),
      outcome,
      next: step.kind,
      reason: answer && 'reason' in answer ? answer.reason : undefined,
    });
  }

  private log(outcome: string, status: number, reason?: string): void {
    const {parts, sendings, moves, service} = this;
    const waitedMs = Math.round(this.waitedMs);
    const tookMs = Math.round(parts.nowMs() - this.startedAtMs);
    parts.logger.info('request', {
      request: this.facts.attemptId,
      run: this.lastRun,
      outcome,
      status,
      reason,
      service,
      target: this.lastTarget,
      sendings,
      moves,
      waited_ms: waitedMs,
      first_ms:
        this.startedAnswerAtMs &&
        Math.round(this.startedAnswerAtMs - this.startedAtMs),
      took_ms: tookMs,
      view: parts.activeConfig()?.view.index,
    });
    parts.observe({
      outcome,
      status,
      service,
      durationMs: tookMs,
      waitedMs,
      attempts: sendings,
      moves,
    });
  }
}

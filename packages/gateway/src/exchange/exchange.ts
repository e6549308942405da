/**
 * Handles one request from its head to its end: finds the route and the
 * workspace, reads the body, reserves a target and sends the request to it, and
 * retries on another target if the kind of the request allows it.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {
  leaseOf,
  type RequestId,
  type ServiceId,
  type TargetId,
  type WorkspaceId,
} from '@samphirefield/core';
import {traitsOf, type RequestContent} from '@samphirefield/policy/quarantine';
import type {RunOutcome} from '../dispatch/index.js';
import {shortDigest} from '../quarantine/index.js';
import {KIND_TRAITS, pickService, type Route} from '../routes/index.js';
import type {UpstreamConnection} from '../upstream/index.js';
import {findAccess} from './access.js';
import type {ResponseSink} from './response-sink.js';
import {readBody} from './body.js';
import {breakOffResponse} from './break-off.js';
import {canFinishBeforeStop} from './planned-stop.js';
import {QuarantineGuard} from './quarantine-guard.js';
import {RunSupervisor, type StreamContinuation} from './run-supervisor.js';
import {
  classifyResult,
  mayHaveRun,
  type NextStep,
  type Classification,
} from './classify-result.js';
import {
  retryAfterMs,
  statusOfLocalResponse,
  writeLocalResponse,
} from './local-response.js';
import {
  newRunId,
  buildStartDemand,
  reservationOn,
  type AdmittedRequest,
  type Reservation,
} from './reservation.js';
import {
  createRequestRecord,
  logFailedAttempt,
  recordEnd,
  type RequestRecord,
} from './request-record.js';
import {serializeRequest} from './http-message.js';
import {
  startTargetAttempt,
  type AttemptResult,
  type TargetAttempt,
} from './target-attempt.js';
import type {
  GatewayDependencies,
  ActiveConfig,
  LocalResponse,
  RequestMetadata,
} from './types.js';

const CONNECT_TIMEOUT_MS = 400;
/** Attempts of one request, including those that a target rejected. */
const MAX_ATTEMPTS = 4;
const CONFIG_WAIT_MAX_MS = 1_500;
/** Share of its remaining time that a request waits for a configuration. */
const CONFIG_WAIT_SHARE = 0.6;
const CONFIG_POLL_MS = 25;
const DEFAULT_DEADLINE_MS = 60_000;
const MIN_REMAINING_MS = 1;
const NO_MEMORY: LocalResponse = {
  kind: 'not_run',
  reason: 'no memory for the body of the request',
};

/** One caller's request and its response. */
export class Exchange {
  private readonly record: RequestRecord;
  private readonly metadata: RequestMetadata;
  private endsAtMs: number;
  private isOver = false;
  private attempt: TargetAttempt | undefined;
  private pendingReservation:
    {request: RequestId; service: ServiceId} | undefined;
  private readonly excluded: TargetId[] = [];
  private runCount = 0;
  private failureResponse: ResponseSink | undefined;

  constructor(
    private readonly deps: GatewayDependencies,
    private readonly req: IncomingMessage,
    private readonly res: ServerResponse,
  ) {
    this.metadata = deps.protocol.readRequest(req.headers);
    this.record = createRequestRecord(this.metadata.attemptId, deps.nowMs());
    this.endsAtMs =
      this.record.startedAtMs +
      (this.metadata.deadlineMs ?? DEFAULT_DEADLINE_MS);
  }

  async run(): Promise<void> {
    this.res.on('close', () => this.onClose());
    const admitted = await this.admit();
    if (admitted === undefined) return;
    this.record.service = admitted.service;
    const timeoutAtMs = this.record.startedAtMs + admitted.route.timeoutMs;
    this.endsAtMs = Math.min(this.endsAtMs, timeoutAtMs);
    const timer = setTimeout(() => this.onTimeout(), this.remainingMs());
    try {
      await this.serve(admitted);
    } finally {
      clearTimeout(timer);
    }
  }

  private remainingMs(): number {
    return this.endsAtMs - this.deps.nowMs();
  }

  /**
   * Waits because a process receives its configuration shortly after its start.
   */
  private async waitForConfiguration(): Promise<ActiveConfig | undefined> {
    const {deps} = this;
    const untilMs =
      this.record.startedAtMs +
      Math.min(CONFIG_WAIT_MAX_MS, this.remainingMs() * CONFIG_WAIT_SHARE);
    while (deps.activeConfig() === undefined && deps.nowMs() < untilMs) {
      await delay(CONFIG_POLL_MS);
    }
    return deps.activeConfig();
  }

  private async admit(): Promise<AdmittedRequest | undefined> {
    const activeConfig = await this.waitForConfiguration();
    if (this.isOver) return undefined;
    if (activeConfig === undefined)
      return this.refuse({kind: 'not_configured'});
    const {routeIndex, view} = activeConfig;
    const access = findAccess(routeIndex, this.req, this.metadata.apiKey);
    if (access.isErr()) return this.refuse(access.error);
    const {route, workspace} = access.value;
    if (workspace) leaseOf(this.req.socket).join(`key ${workspace.name}`);
    const body = await this.readBodyInTime(view.table.limits.maxBodyBytes);
    if (this.isOver) return undefined;
    if (body.isErr()) {
      if (body.error === 'too_large') this.refuse({kind: 'body_too_large'});
      if (body.error === 'no_memory') this.refuse(NO_MEMORY);
      return undefined;
    }
    const stopRefusal = this.refuseBeforeStop(route);
    if (stopRefusal) return this.refuse(stopRefusal);
    const service = pickService(route, this.deps.random());
    const quarantine = this.createQuarantineGuard(
      service,
      workspace?.name,
      body.value,
    );
    const refusal = quarantine.refuse();
    if (refusal) return this.refuse(refusal);
    return {
      route,
      service,
      workspace: workspace?.name,
      priority: workspace?.priority ?? route.priority,
      body: body.value,
      quarantine,
    };
  }

  private createQuarantineGuard(
    service: ServiceId,
    workspace: WorkspaceId | undefined,
    body: Buffer,
  ): QuarantineGuard {
    const {deps, metadata, req} = this;
    const content: RequestContent = {
      service,
      method: req.method ?? '',
      url: req.url ?? '',
      workspace,
      bodyDigest: shortDigest(body),
      sharedPromptParts: metadata.sharedPromptParts,
    };
    const traits = traitsOf(content, shortDigest);
    return new QuarantineGuard(deps, metadata, {service, traits});
  }

  private async readBodyInTime(maxBytes: number) {
    const timer = setTimeout(
      () => this.refuse({kind: 'request_timeout'}),
      this.remainingMs(),
    );
    const body = await readBody(this.req, maxBytes);
    clearTimeout(timer);
    return body;
  }

  /** Undefined if a run can end before this process does. */
  private refuseBeforeStop(route: Route): LocalResponse | undefined {
    const {objectiveMs, timeoutMs} = route;
    const {maxOutputTokens} = this.metadata;
    const endsAtMs = Math.min(
      this.endsAtMs,
      this.record.startedAtMs + timeoutMs,
    );
    const run = {objectiveMs, maxOutputTokens, endsAtMs};
    const {plannedStop, nowMs} = this.deps;
    if (canFinishBeforeStop(run, plannedStop(), nowMs())) return undefined;
    return {
      kind: 'not_run',
      reason: 'would not finish before this process stops',
    };
  }

  /**
   * Ends the request with the failure response of an earlier attempt, if there
   * is one, otherwise with the gateway's own response.
   */
  private refuse(response: LocalResponse): undefined {
    if (this.isOver) return undefined;
    this.isOver = true;
    if (this.failureResponse) {
      this.failureResponse.end();
      this.log('served', this.failureResponse.status);
      return undefined;
    }
    if (!this.req.complete) this.res.setHeader('connection', 'close');
    writeLocalResponse(
      this.res,
      response,
      retryAfterMs(response, this.remainingMs()),
    );
    const reason = 'reason' in response ? response.reason : undefined;
    this.log(response.kind, statusOfLocalResponse(response), reason);
    return undefined;
  }

  private async serve(admitted: AdmittedRequest): Promise<void> {
    const {budget} = this.deps;
    budget.recordRequest(admitted.service);
    for (;;) {
      const nextStep = await this.attemptOnce(admitted);
      if (this.isOver) return;
      if (nextStep.kind !== 'retry') {
        this.finish(nextStep);
        return;
      }
      this.failureResponse = nextStep.failureResponse ?? this.failureResponse;
      const isExhausted =
        this.record.attempts >= MAX_ATTEMPTS ||
        (nextStep.usesRetryBudget && !budget.tryConsume(admitted.service));
      if (isExhausted) {
        this.refuse(nextStep.responseIfFinal);
        return;
      }
    }
  }

  private finish(nextStep: Exclude<NextStep, {kind: 'retry'}>): void {
    if (nextStep.kind === 'own') {
      this.refuse(nextStep.response);
      return;
    }
    this.isOver = true;
    if (nextStep.kind === 'done') {
      this.log('served', nextStep.status);
      return;
    }
    this.log('broken_off', 0);
    breakOffResponse(this.res);
  }

  /** Reserves one target, sends the request to it and classifies the result. */
  private async attemptOnce(admitted: AdmittedRequest): Promise<NextStep> {
    const {deps, metadata, excluded} = this;
    const {service} = admitted;
    const run = newRunId(deps);
    this.pendingReservation = {request: run, service};
    const requestedAtMs = deps.nowMs();
    const paused = deps.statements.pausedTargets();
    const result = await deps.reservations.reserve(
      buildStartDemand(
        deps,
        admitted,
        metadata,
        run,
        [...excluded, ...paused],
        this.remainingMs(),
      ),
    );
    this.pendingReservation = undefined;
    this.record.waitedMs += deps.nowMs() - requestedAtMs;
    const release = (outcome: RunOutcome) =>
      deps.reservations.release(run, service, outcome);
    if (result.kind === 'refused') {
      return {
        kind: 'own',
        response: {
          kind: 'not_run',
          reason: result.reason,
          retryAfterMs:
            result.retryAfterMs ?? deps.statements.pauseLeftMs(paused),
        },
      };
    }
    if (!this.mayUse(result.target)) {
      // It has said so since; another one costs the caller no attempt.
      release('abandoned');
      excluded.push(result.target);
      return this.attemptOnce(admitted);
    }
    const refusal =
      this.refuseBeforeStop(admitted.route) ??
      (await admitted.quarantine.refuseRun(this.remainingMs()));
    if (refusal || this.isOver) {
      admitted.quarantine.endRun();
      release('abandoned');
      return refusal ? {kind: 'own', response: refusal} : {kind: 'broken_off'};
    }
    this.record.lastTarget = result.target;
    this.record.lastRun = run;
    excluded.push(result.target);
    const reservation = reservationOn(deps.reservations, result.target, run);
    const {outcome, step: nextStep} = await this.sendToTarget(
      reservation,
      admitted,
    );
    release(outcome);
    admitted.quarantine.endRun();
    if (outcome !== 'served')
      logFailedAttempt(deps, this.record, outcome, nextStep);
    return nextStep;
  }

  private mayUse(target: TargetId): boolean {
    const {reservations, statements} = this.deps;
    const bornMs = reservations.findTarget(target)?.announcement.bornMs;
    return bornMs === undefined || statements.mayUse({target, bornMs});
  }

  private async sendToTarget(
    reservation: Reservation | undefined,
    admitted: AdmittedRequest,
  ): Promise<Classification> {
    const notSent = (outcome: RunOutcome, reason: string): Classification => ({
      outcome,
      step: {
        kind: 'retry',
        responseIfFinal: {kind: 'not_run', reason},
        usesRetryBudget: false,
      },
    });
    if (reservation === undefined) {
      return notSent(
        'abandoned',
        'the reserved target is not registered any more',
      );
    }
    this.record.attempts += 1;
    const timeoutMs = Math.min(CONNECT_TIMEOUT_MS, this.remainingMs());
    const connection = await this.deps.pool.acquire(
      reservation.address,
      timeoutMs,
    );
    if (connection === undefined) {
      return notSent('not_connected', 'the target cannot be reached');
    }
    if (this.isOver) {
      connection.destroy();
      return {outcome: 'abandoned', step: {kind: 'broken_off'}};
    }
    const attempt = this.startAttempt(connection, admitted, reservation);
    let current = reservation;
    const supervisor = new RunSupervisor({
      deps: this.deps,
      admitted,
      metadata: this.metadata,
      isOver: () => this.isOver,
      startAttempt: (nextConnection, nextReservation, continuation) =>
        this.startAttempt(
          nextConnection,
          admitted,
          nextReservation,
          continuation,
        ),
      onMoved: moved => {
        this.record.moves += 1;
        this.record.lastTarget = moved.target;
        current = moved;
      },
    });
    const result = await supervisor.supervise(attempt, reservation);
    this.record.responseStartedAtMs = attempt.sink()?.headSentAtMs;
    const observed = this.observeEnd(admitted, current, result);
    this.attempt = undefined;
    if (mayHaveRun(result)) this.runCount += 1;
    const classified = classifyResult(result, admitted.route, this.runCount);
    // A crash has to be known before the request is sent to another target.
    if (classified.step.kind === 'retry') await observed;
    return classified;
  }

  /** Observes the run on the target that it was sent to last. */
  private async observeEnd(
    {quarantine}: AdmittedRequest,
    {run, target, bornMs, address}: Reservation,
    result: AttemptResult,
  ): Promise<void> {
    const answeringForMs = this.attempt?.answeringForMs();
    const ended = {run, start: {target, bornMs}, address, answeringForMs};
    if (result.kind === 'lost') await quarantine.observeLostRun(ended);
    if (result.kind === 'ended') quarantine.noteEndedRun(ended);
  }

  private startAttempt(
    connection: UpstreamConnection,
    admitted: AdmittedRequest,
    reservation: Reservation,
    continuation?: StreamContinuation,
  ): TargetAttempt {
    const {protocol} = this.deps;
    const {target, bornMs} = reservation;
    const start = {target, bornMs};
    const sentAtMs = this.deps.nowMs();
    const gatewayHeaders = protocol.writeGatewayHeaders({
      target: reservation.target,
      workspace: admitted.workspace,
      remainingMs: Math.max(MIN_REMAINING_MS, Math.floor(this.remainingMs())),
      resume: continuation?.resume,
      lastEventId: continuation?.sink.events?.lastEventId,
    });
    const attempt = startTargetAttempt({
      connection,
      request: serializeRequest(
        this.req,
        admitted.body,
        name => protocol.isForwardedHeader(name),
        gatewayHeaders,
      ),
      attemptId: this.metadata.attemptId,
      res: this.res,
      protocol,
      isStreamed: KIND_TRAITS[admitted.route.kind].isStreamed,
      continuedSink: continuation?.sink,
      onProven: () => admitted.quarantine.recordAnswer(),
      onHead: metadata =>
        this.deps.statements.hear(start, metadata.stated, sentAtMs),
    });
    this.attempt = attempt;
    return attempt;
  }

  private onClose(): void {
    if (this.res.writableFinished || this.isOver) return;
    this.isOver = true;
    this.log('caller_left', 0);
    this.abandon();
  }

  private onTimeout(): void {
    if (this.isOver) return;
    const {attempt} = this;
    if (attempt?.hasStarted()) {
      this.isOver = true;
      this.log('timed_out_midway', 0);
      breakOffResponse(this.res);
    } else if (attempt) {
      this.refuse({kind: 'timed_out'});
    } else {
      this.refuse({kind: 'not_run', reason: 'no target was reserved in time'});
    }
    this.abandon();
  }

  private abandon(): void {
    this.attempt?.cancel();
    const {pendingReservation} = this;
    if (pendingReservation === undefined) return;
    const {request, service} = pendingReservation;
    this.deps.reservations.release(request, service, 'abandoned');
  }

  private log(outcome: string, status: number, reason?: string): void {
    recordEnd(this.deps, this.record, outcome, status, reason);
  }
}

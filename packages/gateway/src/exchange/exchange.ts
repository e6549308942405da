/**
 * Handles one request from its head to its end: admits it, reserves a
 * target and sends the request to it, and retries on another target if its route
 * allows it. A resumable stream may run again after it has started.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {RunOutcome} from '../dispatch/index.js';
import type {UpstreamConnection} from '../upstream/index.js';
import {admitRequest} from './admission.js';
import type {ResponseSink} from './response-sink.js';
import {breakOffResponse} from './break-off.js';
import type {RelayedOrigin} from './relay-types.js';
import {RunAllowance} from './run-allowance.js';
import {NO_OBSERVER, observedEndOf, type ObservedRun} from './run-observer.js';
import {RunSupervisor, type StreamContinuation} from './run-supervisor.js';
import {
  classifyResult,
  type NextStep,
  type Classification,
} from './classify-result.js';
import {
  afterRun,
  retryAfterMs,
  statusOfLocalResponse,
  writeLocalResponse,
} from './local-response.js';
import {
  reservationOn,
  type AdmittedRequest,
  type Reservation,
  type StreamProgress,
} from './reservation.js';
import {
  createRequestRecord,
  logFailedAttempt,
  recordEnd,
  recordResume,
  recordSending,
  type RequestRecord,
} from './request-record.js';
import {CONNECT_TIMEOUT_MS, noteConnect} from './reachability.js';
import {watchSilence} from './silence-watch.js';
import {RequestRelay} from './request-relay.js';
import {startRun} from './start-run.js';
import type {AttemptResult, TargetAttempt} from './target-attempt.js';
import {TargetPlacer} from './target-placer.js';
import type {
  GatewayDependencies,
  LocalResponse,
  RequestMetadata,
} from './types.js';

const DEFAULT_DEADLINE_MS = 60_000;

/** One caller's request and its response. */
export class Exchange {
  private readonly record: RequestRecord;
  private readonly metadata: RequestMetadata;
  private endsAtMs: number;
  private isOver = false;
  private hasTimedOut = false;
  private attempt: TargetAttempt | undefined;
  private readonly placer: TargetPlacer;
  private readonly allowance: RunAllowance;
  private readonly relay: RequestRelay;
  /** The caller has the events of its resumable stream up to this one. */
  private callerLastEventId: number | undefined;
  private failureResponse: ResponseSink | undefined;
  /** A started stream that the next attempt continues. */
  private startedSink: ResponseSink | undefined;

  constructor(
    private readonly deps: GatewayDependencies,
    private readonly req: IncomingMessage,
    private readonly res: ServerResponse,
    /** Set when another entry relays the request of its caller. */
    origin?: RelayedOrigin,
  ) {
    this.metadata = deps.protocol.readRequest(req.headers);
    this.record = createRequestRecord(this.metadata.attemptId, deps.nowMs());
    this.placer = new TargetPlacer(
      deps,
      this.metadata,
      () => this.remainingMs(),
      () => this.streamProgress(),
    );
    this.allowance = new RunAllowance(deps, this.metadata, () =>
      this.remainingMs(),
    );
    this.relay = new RequestRelay({
      deps,
      req,
      res,
      origin,
      metadata: this.metadata,
      record: this.record,
      remainingMs: () => this.remainingMs(),
    });
    const {deadlineMs = DEFAULT_DEADLINE_MS} = this.metadata;
    this.endsAtMs =
      this.record.startedAtMs + (origin?.remainingMs ?? deadlineMs);
  }

  async run(): Promise<void> {
    this.res.on('close', () => this.onClose());
    const {deps, req, metadata, endsAtMs} = this;
    const admitted = await admitRequest({
      deps,
      req,
      metadata,
      startedAtMs: this.record.startedAtMs,
      endsAtMs,
      isOver: () => this.isOver,
      refuse: response => this.refuse(response),
    });
    if (admitted === undefined) return;
    this.record.service = admitted.service;
    if (admitted.route.isResumable)
      this.callerLastEventId = metadata.lastEventId;
    const timeoutAtMs = this.record.startedAtMs + admitted.route.timeoutMs;
    this.endsAtMs = Math.min(this.endsAtMs, timeoutAtMs);
    const timer = setTimeout(() => this.onTimeout(), this.remainingMs());
    try {
      await this.serve(admitted);
    } finally {
      clearTimeout(timer);
      this.placer.close(admitted.service);
    }
  }

  private remainingMs(): number {
    return this.endsAtMs - this.deps.nowMs();
  }

  /**
   * Ends the request with the failure response of an earlier attempt, if there
   * is one, otherwise with the gateway's own response.
   */
  private refuse(wanted: LocalResponse): undefined {
    if (this.isOver) return undefined;
    this.isOver = true;
    const response = this.allowance.runCount > 0 ? afterRun(wanted) : wanted;
    const reason = 'reason' in response ? response.reason : undefined;
    if (this.res.headersSent) {
      this.log('broken_off', 0, reason);
      breakOffResponse(this.res);
      return undefined;
    }
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
    this.log(response.kind, statusOfLocalResponse(response), reason);
    return undefined;
  }

  private async serve(admitted: AdmittedRequest): Promise<void> {
    const {allowance, relay} = this;
    const {budget} = this.deps;
    if (relay.isNeeded(admitted.service)) {
      await this.relayOnward(admitted);
      return;
    }
    budget.recordRequest(admitted.service);
    this.runObserver.recordArrival(admitted.service);
    for (;;) {
      const nextStep = await this.attemptOnce(admitted);
      if (this.isOver) return;
      if (relay.isNeededAfter(nextStep, allowance, admitted.service)) {
        await this.relayOnward(admitted);
        return;
      }
      if (nextStep.kind !== 'retry') {
        this.finish(nextStep);
        return;
      }
      this.failureResponse = nextStep.failureResponse ?? this.failureResponse;
      this.startedSink = nextStep.startedSink ?? this.startedSink;
      if (allowance.isTooLate()) {
        this.refuse({kind: 'timed_out'});
        return;
      }
      // The budget was consumed when the next target was reserved in advance.
      const isPaid =
        !nextStep.usesRetryBudget || (await this.placer.isPrepared());
      if (this.isOver) return;
      const isExhausted =
        !allowance.hasAttemptLeft ||
        (!isPaid && !budget.tryConsume(admitted.service));
      if (isExhausted) {
        this.refuse(nextStep.responseIfFinal);
        return;
      }
    }
  }

  private async relayOnward(admitted: AdmittedRequest): Promise<void> {
    const nextStep = await this.relay.run(admitted);
    if (!this.isOver) this.finish(nextStep);
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
    const {deps, placer, allowance} = this;
    const {service} = admitted;
    const place = await placer.next(admitted);
    this.record.waitedMs = placer.waitedMs;
    if (place.kind === 'refused') {
      const {response, lacks} = place;
      return {kind: 'own', response, lacks};
    }
    const {run, target} = place;
    let heldRun = run;
    const release = (outcome: RunOutcome) =>
      placer.release(heldRun, service, outcome);
    const refusal =
      allowance.refuseLateRun(admitted.route) ??
      (await admitted.quarantine.refuseRun(this.remainingMs()));
    if (refusal || this.isOver) {
      admitted.quarantine.endRun();
      release('not_sent');
      return refusal ? {kind: 'own', response: refusal} : {kind: 'broken_off'};
    }
    this.record.lastTarget = target;
    this.record.lastRun = run;
    placer.exclude(target);
    const reservation = reservationOn(deps.reservations, target, run);
    const {outcome, step: nextStep} = await this.sendToTarget(
      reservation,
      admitted,
      moved => (heldRun = moved.run),
    );
    release(outcome);
    admitted.quarantine.endRun();
    if (outcome !== 'served')
      logFailedAttempt(deps, this.record, outcome, nextStep);
    return nextStep;
  }

  /** Reserves the target of a stream's next run while this one goes on. */
  private async prepareNextRun(
    admitted: AdmittedRequest,
    running: TargetAttempt,
  ): Promise<boolean> {
    const {service, route} = admitted;
    const mayRun = () =>
      !this.isOver && this.allowance.mayReplace(route, running);
    if (!mayRun()) return false;
    return this.placer.prepare(
      admitted,
      () => mayRun() && this.deps.budget.tryConsume(service),
    );
  }

  private streamProgress(): StreamProgress {
    const sink = this.startedSink ?? this.attempt?.sink();
    const lastEventId = sink?.events?.lastEventId ?? this.callerLastEventId;
    const hasStarted = sink?.hasStarted ?? false;
    return {hasStarted, lastEventId: lastEventId ?? 0};
  }

  private get runObserver() {
    return this.deps.runObserver ?? NO_OBSERVER;
  }

  private async sendToTarget(
    reservation: Reservation | undefined,
    admitted: AdmittedRequest,
    onMoved: (reservation: Reservation) => void,
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
        'not_sent',
        'the reserved target is not registered any more',
      );
    }
    this.record.attempts += 1;
    this.allowance.countAttempt();
    const timeoutMs = Math.min(CONNECT_TIMEOUT_MS, this.remainingMs());
    this.record.lastConnect = undefined;
    this.record.lastPort = undefined;
    const connection = await this.deps.pool.acquire(
      reservation.address,
      timeoutMs,
      this.metadata.attemptId,
      outcome => {
        this.record.lastConnect = outcome;
        noteConnect(this.deps, reservation, outcome, timeoutMs);
      },
    );
    this.record.lastConnect ??= 'kept';
    if (connection === undefined) {
      this.record.unreached += 1;
      return notSent('not_connected', 'the target cannot be reached');
    }
    if (this.isOver) {
      connection.destroy();
      return {outcome: 'not_sent', step: {kind: 'broken_off'}};
    }
    // A version may have been closed, or a lease ended, while connecting.
    if (!this.runObserver.mayUse(reservation.target)) {
      connection.destroy();
      return notSent('not_sent', 'the version of the target may not be used');
    }
    const observedRun = this.runObserver.startRun(
      admitted.route.name,
      admitted.service,
      reservation.target,
    );
    const sink = this.startedSink;
    if (sink) recordResume(this.deps, this.record, sink.events?.lastEventId);
    const attempt = this.startAttempt(
      connection,
      admitted,
      reservation,
      sink && {sink, resume: undefined},
      observedRun,
    );
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
        this.placer.exclude(moved.target);
        this.record.lastTarget = moved.target;
        this.record.lastRun = moved.run;
        observedRun.noteMove(moved.target);
        current = moved;
        onMoved(moved);
      },
      prepareNextRun: running => this.prepareNextRun(admitted, running),
      dropPrepared: () => void this.placer.dropPrepared(admitted.service),
    });
    const result = await supervisor.supervise(attempt, reservation);
    this.record.responseStartedAtMs = attempt.sink()?.headSentAtMs;
    const observed = this.observeEnd(admitted, current, result);
    this.attempt = undefined;
    this.allowance.record(result, admitted.route, attempt);
    const classified = classifyResult(
      result,
      admitted.route,
      this.allowance.runCount,
    );
    observedRun.noteEnd(observedEndOf(result, classified, this.hasTimedOut));
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
    observedRun?: ObservedRun,
  ): TargetAttempt {
    const {deps, req, res, metadata, callerLastEventId} = this;
    const remainingMs = this.remainingMs();
    recordSending(deps, this.record, reservation, connection);
    const attempt = startRun(
      {deps, req, res, metadata, admitted, callerLastEventId, remainingMs},
      connection,
      reservation,
      continuation,
      observedRun,
    );
    this.attempt = attempt;
    watchSilence(deps, admitted, reservation, attempt);
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
    this.hasTimedOut = true;
    const {attempt} = this;
    if (this.res.headersSent) {
      this.isOver = true;
      this.log('timed_out_midway', 0);
      breakOffResponse(this.res);
    } else if (attempt || this.relay.mayHaveRun) {
      this.refuse({kind: 'timed_out'});
    } else {
      this.refuse({kind: 'not_run', reason: 'no target was reserved in time'});
    }
    this.abandon();
  }

  private abandon(): void {
    this.attempt?.cancel();
    this.relay.cancel();
    this.placer.withdraw();
  }

  private log(outcome: string, status: number, reason?: string): void {
    recordEnd(this.deps, this.record, outcome, status, reason);
  }
}

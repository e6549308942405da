/**
 * Supervises one run until its response ends, even if the generation continues
 * on another target: a run moves (with its KV cache) off a target that drains
 * or whose stream is silent, and resumes from its KV cache after its connection
 * broke. A resumable stream that cannot move is prepared to run again.
 */
import {setTimeout as delay} from 'node:timers/promises';
import type {TargetId} from '@samphirefield/core';
import type {RunOutcome} from '../dispatch/index.js';
import {
  FINAL_EVENTS_WAIT_MS,
  moveRun,
  recoverRun,
  StopOrder,
  type Destination,
  type MoveResult,
  type ResumePoint,
} from '../moves/index.js';
import {KIND_TRAITS} from '../routes/index.js';
import type {UpstreamConnection} from '../upstream/index.js';
import type {ResponseSink} from './response-sink.js';
import {
  findEndpoint,
  buildMoveDemand,
  newRunId,
  reservationOn,
  type AdmittedRequest,
  type Reservation,
} from './reservation.js';
import {targetsToAvoid} from './reachability.js';
import {StreamReplacement} from './stream-replacement.js';
import {watchStream} from './stream-watch.js';
import type {
  AttemptResult,
  TargetAttempt,
  UnclearEnd,
} from './target-attempt.js';
import type {GatewayDependencies, RequestMetadata} from './types.js';

const CONNECT_TIMEOUT_MS = 400;

/** A started stream that another target continues. */
export interface StreamContinuation {
  readonly sink: ResponseSink;
  /** The KV cache from which its run resumes; undefined: it runs again. */
  readonly resume: ResumePoint | undefined;
  /** Orders that the target may still carry out. */
  readonly stopOrder?: StopOrder;
}

export interface RunSupervisorOptions {
  readonly deps: GatewayDependencies;
  readonly admitted: AdmittedRequest;
  readonly metadata: RequestMetadata;
  /** Whether the request has its final response or its caller disconnected. */
  readonly isOver: () => boolean;
  readonly startAttempt: (
    connection: UpstreamConnection,
    reservation: Reservation,
    continuation: StreamContinuation,
  ) => TargetAttempt;
  /** Called when the run was resumed, with where it continues. */
  readonly onMoved: (reservation: Reservation) => void;
  /** Reserves the target of the stream's next run while this one goes on. */
  readonly prepareNextRun: (attempt: TargetAttempt) => Promise<boolean>;
  readonly dropPrepared: () => void;
}

interface RunWatch {
  /** Stops watching when the attempt has ended; returns a move in progress. */
  stop(): Promise<MoveResult | undefined> | undefined;
  /** Whether the attempt was broken off to run the stream elsewhere. */
  hasReplaced(): boolean;
}

interface ResumedAttempt {
  readonly attempt: TargetAttempt;
  readonly reservation: Reservation;
}

const NO_WATCH: RunWatch = {stop: () => undefined, hasReplaced: () => false};

/** Supervises the run of one request that was sent to a target. */
export class RunSupervisor {
  /** Undefined when the run of this request cannot be moved. */
  private readonly movableAttemptId: string | undefined;
  private readonly startedAtMs: number;
  private readonly stopOrders = new Map<TargetId, StopOrder>();

  constructor(private readonly options: RunSupervisorOptions) {
    const {deps, admitted, metadata} = options;
    this.startedAtMs = deps.nowMs();
    const index = deps.activeConfig()?.routeIndex;
    const engine = index?.findService(admitted.service)?.engine;
    const {isStreamed} = KIND_TRAITS[admitted.route.kind];
    const canMove = isStreamed && (engine?.canMove ?? false);
    this.movableAttemptId = canMove ? metadata.attemptId : undefined;
  }

  /**
   * Resolves with the result of the last attempt; resumes the run if it can.
   * Releases the places that the run leaves, but not its last one.
   */
  async supervise(
    firstAttempt: TargetAttempt,
    firstReservation: Reservation,
  ): Promise<AttemptResult> {
    const {isOver, onMoved} = this.options;
    let attempt = firstAttempt;
    let reservation = firstReservation;
    for (;;) {
      this.stopOrders.set(reservation.target, attempt.stopOrder);
      const watcher = this.watch(reservation, attempt);
      const end = await attempt.result;
      const pendingMove = watcher.stop();
      const result =
        end.kind === 'unclear_end'
          ? await this.settleEnd(end, pendingMove)
          : end;
      this.logStreamEnd(reservation, attempt, result, pendingMove);
      if (result.kind !== 'lost' || isOver()) {
        void pendingMove?.then(moved => this.discardMove(moved));
        return result;
      }
      const moved =
        (await pendingMove) ??
        (watcher.hasReplaced()
          ? undefined
          : await this.recover(reservation, attempt));
      const resumed =
        moved && (await this.resumeStream(moved, attempt, reservation));
      if (resumed === undefined) return result;
      if (resumed.reservation.run !== reservation.run)
        this.leave(reservation, result.answer ?? 'served');
      ({reservation, attempt} = resumed);
      onMoved(reservation);
    }
  }

  /** Releases the place of a run that continues on another target. */
  private leave({run}: Reservation, outcome: RunOutcome): void {
    const {deps, admitted} = this.options;
    deps.reservations.release(run, admitted.service, outcome);
  }

  /** Waits for the answer to the stop order, which tells why the stream ended. */
  private async settleEnd(
    end: UnclearEnd,
    pendingMove: Promise<MoveResult | undefined> | undefined,
  ): Promise<AttemptResult> {
    await Promise.race([pendingMove, end.cancelled]);
    if (this.options.isOver()) return {kind: 'ended'};
    return end.isWhole() ? end.complete() : end.lose();
  }

  /** Logs how a stream without framing, or one that was to move, has ended. */
  private logStreamEnd(
    {target}: Reservation,
    attempt: TargetAttempt,
    result: AttemptResult,
    pendingMove: Promise<MoveResult | undefined> | undefined,
  ): void {
    const endsWithConnection = attempt.endsWithConnection();
    if (!endsWithConnection && pendingMove === undefined) return;
    this.options.deps.logger.info('stream_end', {
      request: this.movableAttemptId,
      target,
      result: result.kind,
      by: endsWithConnection ? 'connection' : 'framing',
      move: pendingMove ? 'started' : 'none',
      last_event: attempt.sink()?.events?.lastEventId,
    });
  }

  /**
   * Starts a move when the target drains or the stream is silent, and replaces
   * the run of a resumable stream that is not moved.
   */
  private watch(reservation: Reservation, attempt: TargetAttempt): RunWatch {
    const {movableAttemptId: attemptId} = this;
    const {deps, admitted} = this.options;
    const {eventGapMs, isResumable} = admitted.route;
    if (attemptId === undefined && !isResumable) return NO_WATCH;
    let pendingMove: Promise<MoveResult | undefined> | undefined;
    let hasEnded = false;
    const startMove = () => {
      if (attemptId === undefined || hasEnded) return;
      pendingMove ??= this.move(
        attemptId,
        reservation,
        attempt,
        () => hasEnded,
      );
    };
    const replacement = isResumable
      ? this.createReplacement(reservation, attempt, () => hasEnded)
      : undefined;
    const stopWatching = watchStream({
      reservations: deps.reservations,
      target: reservation.target,
      attempt,
      eventGapMs,
      onLeaving: () => {
        startMove();
        void replacement?.start('leaving', pendingMove);
      },
      onSilent: startMove,
      onStalled: () => void replacement?.start('stalled', pendingMove),
    });
    return {
      stop: () => {
        hasEnded = true;
        stopWatching();
        return pendingMove;
      },
      hasReplaced: () => replacement?.hasReplaced ?? false,
    };
  }

  private createReplacement(
    {target}: Reservation,
    attempt: TargetAttempt,
    hasEnded: () => boolean,
  ): StreamReplacement {
    const {deps, metadata, isOver} = this.options;
    return new StreamReplacement({
      attempt,
      prepare: () => this.options.prepareNextRun(attempt),
      dropPrepared: this.options.dropPrepared,
      hasEnded: () => hasEnded() || isOver(),
      log: (reason, step) =>
        deps.logger.info('replacement', {
          request: metadata.attemptId,
          target,
          reason,
          step,
        }),
    });
  }

  private async move(
    attemptId: string,
    reservation: Reservation,
    attempt: TargetAttempt,
    hasEnded: () => boolean,
  ): Promise<MoveResult | undefined> {
    const {deps, isOver} = this.options;
    const {reservations, logger} = deps;
    const source = reservation.target;
    const permitHolder = newRunId(deps);
    const moved = await moveRun({
      attemptId,
      source: reservation,
      mover: deps.mover,
      stopOrder: attempt.stopOrder,
      hasStarted: () => attempt.hasStarted(),
      acquirePermit: () => reservations.acquireMovePermit(source, permitHolder),
      releasePermit: () => reservations.releaseMovePermit(source, permitHolder),
      findDestination: excluded => this.findDestination(excluded),
      isOver: () => isOver() || hasEnded(),
      log: (step, fields) =>
        logger.info('move', {request: attemptId, step, source, ...fields}),
    });
    if (moved) {
      void delay(FINAL_EVENTS_WAIT_MS).then(() => attempt.breakOff('moved'));
    }
    return moved;
  }

  /** Finds the KV cache from which an interrupted stream can resume. */
  private async recover(
    reservation: Reservation,
    attempt: TargetAttempt,
  ): Promise<MoveResult | undefined> {
    const {movableAttemptId: attemptId} = this;
    if (attemptId === undefined || !attempt.hasStarted()) return undefined;
    const {deps, isOver} = this.options;
    const result = await recoverRun({
      attemptId,
      source: reservation,
      mover: deps.mover,
      stopOrder: attempt.stopOrder,
      findDestination: () => this.findDestination([reservation.target]),
      isOver,
    });
    deps.logger.info('recovery', {
      request: attemptId,
      source: reservation.target,
      outcome: result === undefined ? 'lost' : 'goes_on',
      at: result?.resume.target,
    });
    return result;
  }

  private async findDestination(
    excluded: readonly TargetId[],
  ): Promise<Destination | undefined> {
    const {deps, admitted, metadata} = this.options;
    const {reservations} = deps;
    const run = newRunId(deps);
    const result = await reservations.reserve(
      buildMoveDemand(
        deps,
        admitted,
        metadata,
        run,
        [
          ...excluded,
          ...deps.statements.pausedTargets(),
          ...targetsToAvoid(deps, admitted.service),
        ],
        deps.nowMs() - this.startedAtMs,
      ),
    );
    if (result.kind === 'refused') return undefined;
    const release = () =>
      reservations.release(run, admitted.service, 'abandoned');
    const endpoint = findEndpoint(reservations, result.target);
    if (endpoint) return {...endpoint, run, release};
    reservations.release(run, admitted.service, 'not_sent');
    return undefined;
  }

  private async resumeStream(
    moved: MoveResult,
    before: TargetAttempt,
    from: Reservation,
  ): Promise<ResumedAttempt | undefined> {
    const {deps, metadata, isOver, startAttempt} = this.options;
    const sink = before.sink();
    const {resume} = moved;
    const connection =
      sink &&
      (await deps.pool.acquire(
        resume.address,
        CONNECT_TIMEOUT_MS,
        metadata.attemptId,
      ));
    if (sink === undefined || connection === undefined || isOver()) {
      connection?.destroy();
      this.discardMove(moved);
      return undefined;
    }
    const {target, address} = resume;
    // A run that resumes on its source keeps its place there.
    const {run} = moved.destination ?? from;
    const known = reservationOn(deps.reservations, target, run);
    const reservation = known
      ? {...known, address}
      : {target, address, run, bornMs: 0};
    const stopOrder = this.openStopOrder(target);
    const continuation = {sink, resume, stopOrder};
    const attempt = startAttempt(connection, reservation, continuation);
    return {attempt, reservation};
  }

  /** An order to the target without an answer may stop the resumed run. */
  private openStopOrder(target: TargetId): StopOrder {
    const earlier = this.stopOrders.get(target);
    return earlier?.isOpen ? earlier : new StopOrder();
  }

  /**
   * Frees the reservation and the KV cache copy of a move that is not needed.
   */
  private discardMove(moved: MoveResult | undefined): void {
    if (moved === undefined) return;
    moved.destination?.release();
    this.options.deps.mover.drop(moved.resume.from, moved.resume.handle);
  }
}

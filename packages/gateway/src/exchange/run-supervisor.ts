/**
 * Follows one answer to its end, wherever its generation goes meanwhile: moved
 * off a target that leaves or is stuck, or taken up again from its memory
 * after its connection broke.
 */
import {setTimeout as delay} from 'node:timers/promises';
import type {TargetId} from '@samphirefield/core';
import {
  moveRun,
  recoverRun,
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
  type AdmittedRequest,
  type Reservation,
} from './reservation.js';
import type {TargetAttempt, AttemptResult} from './target-attempt.js';
import type {GatewayDependencies, RequestMetadata} from './types.js';

const CONNECT_TIMEOUT_MS = 400;
/** A stopped run's last events may still be on their way. */
const LAST_EVENTS_MS = 120;
const SILENCE_MIN_MS = 1_000;
const SILENCE_GAPS = 5;
const SILENCE_CHECK_MS = 250;

/** A stream that goes on with a run that began elsewhere. */
export interface StreamContinuation {
  readonly sink: ResponseSink;
  readonly resume: ResumePoint;
}

export interface RunSupervisorOptions {
  readonly parts: GatewayDependencies;
  readonly admitted: AdmittedRequest;
  readonly facts: RequestMetadata;
  /** Whether the request has its final answer, or its caller has left. */
  readonly isOver: () => boolean;
  readonly startAttempt: (
    connection: UpstreamConnection,
    place: Reservation,
    goesOn: StreamContinuation,
  ) => TargetAttempt;
  /** The run goes on at another target. */
  readonly onMoved: (target: TargetId) => void;
}

interface PlaceWatch {
  /** The run has ended here; returns the move that was begun. */
  end(): Promise<MoveResult | undefined> | undefined;
}

interface Continuation {
  readonly sending: TargetAttempt;
  readonly place: Reservation;
}

const NO_WATCH: PlaceWatch = {end: () => undefined};

export class RunSupervisor {
  /** Undefined when this request's run cannot be moved. */
  private readonly attempt: string | undefined;

  constructor(private readonly options: RunSupervisorOptions) {
    const {parts, admitted, facts} = options;
    const index = parts.activeConfig()?.routeIndex;
    const engine = index?.findService(admitted.service)?.engine;
    const {isStreamed} = KIND_TRAITS[admitted.route.kind];
    const canMove = isStreamed && (engine?.canMove ?? false);
    this.attempt = canMove ? facts.attemptId : undefined;
  }

  async supervise(
    first: TargetAttempt,
    start: Reservation,
  ): Promise<AttemptResult> {
    const {parts, admitted, isOver, onMoved} = this.options;
    let sending = first;
    let place = start;
    let held: Destination | undefined;
    for (;;) {
      const watch = this.watch(place, sending);
      const result = await sending.result;
      const moving = watch.end();
      if (result.kind !== 'lost' || isOver()) {
        void moving?.then(moved => this.drop(moved));
        held?.release(result.kind === 'passed_on');
        return result;
      }
      const moved = (await moving) ?? (await this.recover(place, sending));
      const next = moved && (await this.goOn(moved, sending, place));
      held?.release(true);
      if (next === undefined) return result;
      parts.reservations.release(place.run, admitted.service, 'served');
      held = moved?.destination;
      ({place, sending} = next);
      onMoved(place.target);
    }
  }

  /** Starts a move when the target says that it leaves, or a stream is stuck. */
  private watch(place: Reservation, sending: TargetAttempt): PlaceWatch {
    const {attempt} = this;
    if (attempt === undefined) return NO_WATCH;
    const {reservations: placer} = this.options.parts;
    let moving: Promise<MoveResult | undefined> | undefined;
    let hasEnded = false;
    const begin = () => {
      if (moving || hasEnded) return;
      moving = this.move(attempt, place, sending, () => hasEnded);
    };
    const stopWatching = placer.onDraining(place.target, begin);
    const {eventGapMs} = this.options.admitted.route;
    const silenceMs = Math.max(SILENCE_MIN_MS, eventGapMs * SILENCE_GAPS);
    const timer = setInterval(() => {
      const silentMs = performance.now() - sending.lastReceivedAtMs();
      if (sending.hasStarted() && silentMs > silenceMs) begin();
    }, SILENCE_CHECK_MS);
    return {
      end: () => {
        hasEnded = true;
        clearInterval(timer);
        stopWatching();
        return moving;
      },
    };
  }

  private async move(
    attempt: string,
    place: Reservation,
    sending: TargetAttempt,
    hasEnded: () => boolean,
  ): Promise<MoveResult | undefined> {
    const {parts, isOver} = this.options;
    const {reservations: placer, logger} = parts;
    const source = place.target;
    const holder = newRunId(parts);
    const moved = await moveRun({
      attemptId: attempt,
      source: place,
      mover: parts.mover,
      hasStarted: () => sending.hasStarted(),
      acquirePermit: () => placer.acquireMovePermit(source, holder),
      releasePermit: () => placer.releaseMovePermit(source, holder),
      findDestination: excluded => this.findDestination(excluded),
      isOver: () => isOver() || hasEnded(),
      log: (step, fields) =>
        logger.info('move', {request: attempt, step, source, ...fields}),
    });
    if (moved) {
      void delay(LAST_EVENTS_MS).then(() => sending.breakOff('moved'));
    }
    return moved;
  }

  /** Finds the memory from which a stream that broke off goes on. */
  private async recover(
    place: Reservation,
    sending: TargetAttempt,
  ): Promise<MoveResult | undefined> {
    const {attempt} = this;
    if (attempt === undefined || !sending.hasStarted()) return undefined;
    const {parts, isOver} = this.options;
    const result = await recoverRun({
      attemptId: attempt,
      source: place,
      mover: parts.mover,
      findDestination: () => this.findDestination([place.target]),
      isOver,
    });
    parts.logger.info('recovery', {
      request: attempt,
      source: place.target,
      outcome: result === undefined ? 'lost' : 'goes_on',
      at: result?.resume.target,
    });
    return result;
  }

  private async findDestination(
    excluded: readonly TargetId[],
  ): Promise<Destination | undefined> {
    const {parts, admitted, facts} = this.options;
    const {reservations: placer} = parts;
    const run = newRunId(parts);
    const answer = await placer.reserve(
      buildMoveDemand(parts, admitted, facts, run, excluded),
    );
    if (answer.kind === 'refused') return undefined;
    const release = (isUsed: boolean) =>
      placer.release(run, admitted.service, isUsed ? 'served' : 'abandoned');
    const holder = findEndpoint(placer, answer.target);
    if (holder) return {...holder, release};
    release(false);
    return undefined;
  }

  private async goOn(
    moved: MoveResult,
    before: TargetAttempt,
    from: Reservation,
  ): Promise<Continuation | undefined> {
    const {parts, isOver, startAttempt: startSending} = this.options;
    const sink = before.sink();
    const {resume} = moved;
    const connection =
      sink && (await parts.pool.acquire(resume.address, CONNECT_TIMEOUT_MS));
    if (sink === undefined || connection === undefined || isOver()) {
      connection?.destroy();
      moved.destination?.release(false);
      return undefined;
    }
    const {target, address} = resume;
    const place: Reservation = {target, address, run: from.run};
    const sending = startSending(connection, place, {sink, resume});
    return {sending, place};
  }

  /** Frees what a move prepared when it turned out not to be needed. */
  private drop(moved: MoveResult | undefined): void {
    if (moved === undefined) return;
    moved.destination?.release(false);
    this.options.parts.mover.drop(moved.resume.from, moved.resume.handle);
  }
}

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
import type {AnswerSink} from './answer-sink.js';
import {
  findHolder,
  moveDemand,
  newRunId,
  type Admitted,
  type Place,
} from './place.js';
import type {Sending, SendResult} from './send.js';
import type {GatewayParts, RequestFacts} from './types.js';

const CONNECT_TIMEOUT_MS = 400;
/** A stopped run's last events may still be on their way. */
const LAST_EVENTS_MS = 120;
const SILENCE_MIN_MS = 1_000;
const SILENCE_GAPS = 5;
const SILENCE_CHECK_MS = 250;

/** A stream that goes on with a run that began elsewhere. */
export interface GoesOn {
  readonly sink: AnswerSink;
  readonly resume: ResumePoint;
}

export interface FollowOptions {
  readonly parts: GatewayParts;
  readonly admitted: Admitted;
  readonly facts: RequestFacts;
  /** Whether the request has its final answer, or its caller has left. */
  readonly isOver: () => boolean;
  readonly startSending: (
    connection: UpstreamConnection,
    place: Place,
    goesOn: GoesOn,
  ) => Sending;
  /** The run goes on at another target. */
  readonly onMoved: (target: TargetId) => void;
}

interface PlaceWatch {
  /** The run has ended here; returns the move that was begun. */
  end(): Promise<MoveResult | undefined> | undefined;
}

interface Continuation {
  readonly sending: Sending;
  readonly place: Place;
}

const NO_WATCH: PlaceWatch = {end: () => undefined};

export class RunFollower {
  /** Undefined when this request's run cannot be moved. */
  private readonly attempt: string | undefined;

  constructor(private readonly options: FollowOptions) {
    const {parts, admitted, facts} = options;
    const index = parts.inForce()?.index;
    const engine = index?.findService(admitted.service)?.engine;
    const {isStreamed} = KIND_TRAITS[admitted.route.kind];
    const canMove = isStreamed && (engine?.canMove ?? false);
    this.attempt = canMove ? facts.attempt : undefined;
  }

  async follow(first: Sending, start: Place): Promise<SendResult> {
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
      parts.placer.finish(place.run, admitted.service, 'served');
      held = moved?.destination;
      ({place, sending} = next);
      onMoved(place.target);
    }
  }

  /** Starts a move when the target says that it leaves, or a stream is stuck. */
  private watch(place: Place, sending: Sending): PlaceWatch {
    const {attempt} = this;
    if (attempt === undefined) return NO_WATCH;
    const {placer} = this.options.parts;
    let moving: Promise<MoveResult | undefined> | undefined;
    let hasEnded = false;
    const begin = () => {
      if (moving || hasEnded) return;
      moving = this.move(attempt, place, sending, () => hasEnded);
    };
    const stopWatching = placer.onLeaving(place.target, begin);
    const {eventGapMs} = this.options.admitted.route;
    const silenceMs = Math.max(SILENCE_MIN_MS, eventGapMs * SILENCE_GAPS);
    const timer = setInterval(() => {
      const silentMs = performance.now() - sending.heardAtMs();
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
    place: Place,
    sending: Sending,
    hasEnded: () => boolean,
  ): Promise<MoveResult | undefined> {
    const {parts, isOver} = this.options;
    const {placer, logger} = parts;
    const source = place.target;
    const holder = newRunId(parts);
    const moved = await moveRun({
      attempt,
      source: place,
      mover: parts.mover,
      hasStarted: () => sending.hasStarted(),
      takeTurn: () => placer.takeMoveTurn(source, holder),
      endTurn: () => placer.endMoveTurn(source, holder),
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
    place: Place,
    sending: Sending,
  ): Promise<MoveResult | undefined> {
    const {attempt} = this;
    if (attempt === undefined || !sending.hasStarted()) return undefined;
    const {parts, isOver} = this.options;
    const result = await recoverRun({
      attempt,
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
    const {placer} = parts;
    const run = newRunId(parts);
    const answer = await placer.place(
      moveDemand(parts, admitted, facts, run, excluded),
    );
    if (answer.kind === 'refused') return undefined;
    const release = (isUsed: boolean) =>
      placer.finish(run, admitted.service, isUsed ? 'served' : 'abandoned');
    const holder = findHolder(placer, answer.target);
    if (holder) return {...holder, release};
    release(false);
    return undefined;
  }

  private async goOn(
    moved: MoveResult,
    before: Sending,
    from: Place,
  ): Promise<Continuation | undefined> {
    const {parts, isOver, startSending} = this.options;
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
    const place: Place = {target, address, run: from.run};
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

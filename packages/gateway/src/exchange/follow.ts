/**
 * Follows one answer to its end, wherever its generation goes meanwhile: moved
 * off a target that leaves or is stuck, or taken up again from its memory
 * after its connection broke.
 */
import {setTimeout as delay} from 'node:timers/promises';
import type {RequestId, TargetId} from '@samphirefield/core';
import {
  finishCopy,
  moveRun,
  recoverRun,
  Standby,
  type Destination,
  type MoveResult,
  type ResumePoint,
  type StandbyCopy,
  type StandbyDestination,
} from '../moves/index.js';
import {KIND_TRAITS} from '../routes/index.js';
import type {UpstreamConnection} from '../upstream/index.js';
import type {AnswerSink} from './answer-sink.js';
import {
  findHolder,
  moveDemand,
  newRunId,
  worthPerToken,
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
  readonly standby: Standby | undefined;
}

interface Continuation {
  readonly sending: Sending;
  readonly place: Place;
}

const NO_WATCH: PlaceWatch = {end: () => undefined, standby: undefined};

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
      const {standby} = watch;
      if (result.kind !== 'lost' || isOver()) {
        void moving?.then(moved => this.drop(moved, standby));
        standby?.close();
        held?.release(result.kind === 'passed_on');
        return result;
      }
      const moved =
        (await moving) ?? (await this.recover(place, sending, standby));
      standby?.close();
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
      moving = this.move(attempt, place, sending, standby, () => hasEnded);
    };
    const standby = this.keepStandby(attempt, place, sending);
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
      standby,
    };
  }

  private keepStandby(
    attempt: string,
    source: Place,
    sending: Sending,
  ): Standby {
    const {placer, mover, logger} = this.options.parts;
    return new Standby({
      attempt,
      source,
      mover,
      findRoom: excluded => this.findRoom(excluded),
      hasStarted: () => sending.hasStarted(),
      isInService: target => placer.isInService(target),
      log: (step, fields) =>
        logger.info('standby', {
          request: attempt,
          step,
          source: source.target,
          ...fields,
        }),
    });
  }

  private async move(
    attempt: string,
    source: Place,
    sending: Sending,
    standby: Standby,
    hasEnded: () => boolean,
  ): Promise<MoveResult | undefined> {
    const copy = await standby.take();
    if (hasEnded()) return undefined;
    const moved =
      (copy && (await this.moveToCopy(attempt, source, copy, standby))) ??
      (await this.moveInTurn(attempt, source, sending, hasEnded));
    if (moved) {
      void delay(LAST_EVENTS_MS).then(() => sending.breakOff('moved'));
    }
    return moved;
  }

  /** Little is left to copy, so this needs no turn on the source's link. */
  private async moveToCopy(
    attempt: string,
    source: Place,
    copy: StandbyCopy,
    standby: Standby,
  ): Promise<MoveResult | undefined> {
    const {mover} = this.options.parts;
    const log = this.moveLog(attempt, source);
    const options = {attempt, source, mover, log};
    const moved = await finishCopy(options, copy.destination);
    if (moved?.destination) standby.markUsed();
    return moved;
  }

  private moveInTurn(
    attempt: string,
    place: Place,
    sending: Sending,
    hasEnded: () => boolean,
  ): Promise<MoveResult | undefined> {
    const {parts, facts, isOver} = this.options;
    const {placer} = parts;
    const source = place.target;
    const holder = newRunId(parts);
    return moveRun({
      attempt,
      source: place,
      mover: parts.mover,
      hasStarted: () => sending.hasStarted(),
      takeTurn: () => placer.takeMoveTurn(source, holder, worthPerToken(facts)),
      endTurn: () => placer.endMoveTurn(source, holder),
      findDestination: excluded => this.findDestination(excluded),
      isOver: () => isOver() || hasEnded(),
      log: this.moveLog(attempt, place),
    });
  }

  private moveLog(attempt: string, {target: source}: Place) {
    const {logger} = this.options.parts;
    return (step: string, fields: Record<string, string>) =>
      logger.info('move', {request: attempt, step, source, ...fields});
  }

  /** Finds the memory from which a stream that broke off goes on. */
  private async recover(
    place: Place,
    sending: Sending,
    standby: Standby | undefined,
  ): Promise<MoveResult | undefined> {
    const {attempt} = this;
    const copy = await standby?.take();
    if (attempt === undefined || !sending.hasStarted()) return undefined;
    const {parts, isOver} = this.options;
    const result = await recoverRun({
      attempt,
      source: place,
      mover: parts.mover,
      findDestination: () => this.findDestination([place.target]),
      copy,
      isOver,
    });
    if (copy && result?.destination === copy.destination) standby?.markUsed();
    parts.logger.info('recovery', {
      request: attempt,
      source: place.target,
      outcome: result === undefined ? 'lost' : 'goes_on',
      at: result?.resume.target,
      had_copy: copy !== undefined,
    });
    return result;
  }

  private async findDestination(
    excluded: readonly TargetId[],
  ): Promise<Destination | undefined> {
    return (await this.findPlace(excluded, 'move'))?.destination;
  }

  private async findRoom(
    excluded: readonly TargetId[],
  ): Promise<StandbyDestination | undefined> {
    const {placer} = this.options.parts;
    const found = await this.findPlace(excluded, 'standby');
    if (found === undefined) return undefined;
    const {destination, run} = found;
    return {
      ...destination,
      promote: () => placer.promote(run),
      onRevoked: listener => placer.onRevoked(run, listener),
    };
  }

  private async findPlace(
    excluded: readonly TargetId[],
    purpose: 'move' | 'standby',
  ): Promise<{destination: Destination; run: RequestId} | undefined> {
    const {parts, admitted, facts} = this.options;
    const {placer} = parts;
    const run = newRunId(parts);
    const answer = await placer.place(
      moveDemand(parts, admitted, facts, run, excluded, purpose),
    );
    if (answer.kind === 'refused') return undefined;
    const release = (isUsed: boolean) =>
      placer.finish(run, admitted.service, isUsed ? 'served' : 'abandoned');
    const holder = findHolder(placer, answer.target);
    if (holder) return {destination: {...holder, release}, run};
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
  private drop(
    moved: MoveResult | undefined,
    standby: Standby | undefined,
  ): void {
    standby?.close();
    if (moved === undefined) return;
    moved.destination?.release(false);
    this.options.parts.mover.drop(moved.resume.from, moved.resume.handle);
  }
}

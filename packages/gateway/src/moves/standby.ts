/**
 * A copy of a running generation's memory that is kept on a second target. It
 * is brought up to date again and again, so that little is left to copy when
 * the first target leaves, and little to read again when it dies.
 *
 * The room it takes may be taken back at any moment; then the copy is dropped,
 * and another is made later where there is room.
 */
import type {TargetId} from '@samphirefield/core';
import type {Destination, RunSource} from './move.js';
import type {MemoryMover} from './types.js';

/** A run that is over sooner needs no copy. */
const FIRST_COPY_AFTER_MS = 300;
const REFRESH_MS = 1_500;
const TRY_AGAIN_MS = 1_500;
const COPY_TIMEOUT_MS = 2_500;

export interface StandbyDestination extends Destination {
  /** The run goes on here: the room is its place from now on. */
  promote(): void;
  /** Calls back when the room is taken back; returns the way out. */
  onRevoked(listener: () => void): () => void;
}

export interface StandbyCopy {
  readonly destination: StandbyDestination;
  /** Names the copy at the source. */
  readonly handle: string;
}

export interface StandbyOptions {
  readonly attempt: string;
  readonly source: RunSource;
  readonly mover: MemoryMover;
  /** Room on another target, if there is any. */
  readonly findRoom: (
    excluded: readonly TargetId[],
  ) => Promise<StandbyDestination | undefined>;
  /** Whether the run has begun to answer; before, there is nothing to copy. */
  readonly hasStarted: () => boolean;
  /** Whether a target may be sent work now. */
  readonly isInService: (target: TargetId) => boolean;
  readonly log: (step: string, fields: Record<string, string>) => void;
}

export class Standby {
  private room: StandbyDestination | undefined;
  /** Undefined until the first copy is complete. */
  private handle: string | undefined;
  private underWay: Promise<void> = Promise.resolve();
  private timer: NodeJS.Timeout | undefined;
  private stopWatching: () => void = () => undefined;
  private isStopped = false;

  constructor(private readonly options: StandbyOptions) {
    this.schedule(FIRST_COPY_AFTER_MS);
  }

  /** Stops copying; resolves with the copy, if it may be used. */
  async take(): Promise<StandbyCopy | undefined> {
    this.stop();
    // From here on the copy is needed more than a run that could push it off.
    this.room?.promote();
    await this.underWay;
    const {room, handle} = this;
    if (room === undefined || handle === undefined) return undefined;
    if (this.options.isInService(room.target)) {
      return {destination: room, handle};
    }
    this.drop();
    return undefined;
  }

  /** The run goes on from the copy, which belongs to the caller from now on. */
  markUsed(): void {
    this.log('used');
    this.stopWatching();
    this.room = undefined;
    this.handle = undefined;
  }

  /** Frees the copy: the run has ended, or goes on elsewhere. */
  close(): void {
    this.stop();
    void this.underWay.then(() => this.drop());
  }

  private stop(): void {
    this.isStopped = true;
    clearTimeout(this.timer);
  }

  private schedule(ms: number): void {
    if (this.isStopped) return;
    this.timer = setTimeout(() => {
      this.underWay = this.keep();
    }, ms);
  }

  private async keep(): Promise<void> {
    if (!this.options.hasStarted()) {
      this.schedule(FIRST_COPY_AFTER_MS);
      return;
    }
    this.room ??= await this.findRoom();
    if (this.room) await this.copyTo(this.room);
    this.schedule(this.room ? REFRESH_MS : TRY_AGAIN_MS);
  }

  private async findRoom(): Promise<StandbyDestination | undefined> {
    const {findRoom, source} = this.options;
    const room = await findRoom([source.target]);
    if (room === undefined) return undefined;
    this.stopWatching = room.onRevoked(() => {
      this.log('revoked');
      this.drop();
    });
    return room;
  }

  private async copyTo(room: StandbyDestination): Promise<void> {
    const {mover, source, attempt} = this.options;
    const answer = await mover.copy(
      source.address,
      attempt,
      room.address,
      false,
      COPY_TIMEOUT_MS,
    );
    if (answer.kind === 'copied') {
      if (this.handle === undefined) this.log('kept');
      if (this.room === room) this.handle = answer.handle;
      else mover.drop(source.address, answer.handle);
      return;
    }
    // A copy that its source cannot refresh still serves when the source dies.
    const isUseless = answer.kind === 'refused' || this.handle === undefined;
    if (answer.kind === 'busy' || !isUseless) return;
    this.log(`not_kept_${answer.kind}`);
    this.drop();
  }

  private drop(): void {
    const {room, handle} = this;
    this.room = undefined;
    this.handle = undefined;
    this.stopWatching();
    if (handle) this.options.mover.drop(this.options.source.address, handle);
    room?.release(false);
  }

  private log(step: string): void {
    const at = this.room?.target;
    this.options.log(step, at === undefined ? {} : {destination: at});
  }
}

/**
 * Runs a resumable stream on another target before its target ends, when it
 * cannot move there with its KV cache. The next target is reserved while the
 * stream goes on, so the caller waits for its first event only.
 */
import {setTimeout as delay} from 'node:timers/promises';
import type {MoveResult} from '../moves/index.js';
import type {TargetAttempt} from './target-attempt.js';

/**
 * How long a stream continues on a target that leaves, so that short streams
 * can end there. The shortest notice of targets is 1,500 ms, of which the
 * announcement and the reservation of the next target take a part.
 */
const LEAVING_GRACE_MS = 600;

export type ReplacementReason = 'leaving' | 'stalled';

export interface ReplacementOptions {
  readonly attempt: TargetAttempt;
  /** Reserves the next target; resolves with whether the stream may run there. */
  readonly prepare: () => Promise<boolean>;
  /** Releases what was reserved and is not needed. */
  readonly dropPrepared: () => void;
  /** Whether the attempt has ended. */
  readonly hasEnded: () => boolean;
  readonly log: (reason: ReplacementReason, step: string) => void;
}

export class StreamReplacement {
  /** Whether the attempt was broken off to run the stream elsewhere. */
  hasReplaced = false;
  private isBusy = false;
  private readonly tried = new Set<ReplacementReason>();

  constructor(private readonly options: ReplacementOptions) {}

  /** Replaces the run unless its move succeeds; tries once for each reason. */
  async start(
    reason: ReplacementReason,
    move: Promise<MoveResult | undefined> | undefined,
  ): Promise<void> {
    if (this.isBusy || this.tried.has(reason)) return;
    this.tried.add(reason);
    this.isBusy = true;
    if (move === undefined && reason === 'leaving')
      await delay(LEAVING_GRACE_MS);
    if ((await move) === undefined) await this.replace(reason);
    this.isBusy = false;
  }

  private async replace(reason: ReplacementReason): Promise<void> {
    const {attempt, hasEnded, log} = this.options;
    if (hasEnded()) return;
    const isPrepared = await this.options.prepare();
    // What is reserved serves the next attempt if this one has been lost.
    if (hasEnded()) return;
    if (!isPrepared) {
      log(reason, 'stays');
      return;
    }
    if (reason === 'stalled' && attempt.stalledMs() === 0) {
      this.options.dropPrepared();
      return;
    }
    log(reason, 'breaks_off');
    this.hasReplaced = true;
    attempt.breakOff(reason);
  }
}

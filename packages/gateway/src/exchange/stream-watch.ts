/**
 * Watches a running stream for what ends it without an error: its target leaves,
 * or its events stop.
 */
import type {TargetId} from '@samphirefield/core';
import type {TargetAttempt} from './target-attempt.js';
import type {ReservationClient} from './types.js';

const SILENCE_MIN_MS = 1_000;
/** A stream is silent after this many event gaps of its route. */
const SILENCE_EVENT_GAPS = 5;
const SILENCE_CHECK_MS = 250;
/**
 * A stream is stalled after this many times the silence. A run that starts again
 * loses its KV cache, while a move that was not needed loses nothing, and a
 * target that is slow for a while (0.6 s at a time) is not stalled.
 */
const STALLED_SILENCES = 3;

export interface StreamWatchOptions {
  readonly reservations: ReservationClient;
  readonly target: TargetId;
  readonly attempt: TargetAttempt;
  /** The longest pause between two events of a stream that is on time. */
  readonly eventGapMs: number;
  /** Called once when the target drains. */
  readonly onLeaving: () => void;
  /** Called at each check while the stream is silent. */
  readonly onSilent: () => void;
  /**
   * Called at each check after a longer silence that the caller did not cause.
   */
  readonly onStalled: () => void;
}

/** Returns a function that ends the watch. */
export function watchStream(options: StreamWatchOptions): () => void {
  const {reservations, target, attempt, eventGapMs} = options;
  const stopWatching = reservations.onDraining(target, options.onLeaving);
  const silenceMs = Math.max(SILENCE_MIN_MS, eventGapMs * SILENCE_EVENT_GAPS);
  const timer = setInterval(() => {
    if (!attempt.hasStarted()) return;
    const silentMs = performance.now() - attempt.lastProgressAtMs();
    if (silentMs > silenceMs) options.onSilent();
    const isStalled = attempt.stalledMs() > silenceMs * STALLED_SILENCES;
    if (isStalled) options.onStalled();
  }, SILENCE_CHECK_MS);
  return () => {
    clearInterval(timer);
    stopWatching();
  };
}

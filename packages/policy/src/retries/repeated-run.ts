/**
 * Decides whether a request that has run may run once more as far as its time
 * goes. Designed for many streams that lose their targets at once while engines
 * are few: a request that nobody waits for any more must not occupy one.
 */

/**
 * The fastest target of a service is at most this much faster than the slowest
 * (0.7 to 1.7 times the usual speed).
 */
const SPEED_SPREAD = 1.7 / 0.7;

/** What is known of a request that is to run again. */
export interface RepeatedRun {
  /** Until the caller's deadline. */
  readonly remainingMs: number;
  /**
   * How long its fastest run took to its first event; undefined: none had one.
   */
  readonly firstEventMs: number | undefined;
}

/** False when even the fastest target would be too late. */
export function canRunInTime({
  remainingMs,
  firstEventMs = 0,
}: RepeatedRun): boolean {
  return remainingMs > firstEventMs / SPEED_SPREAD;
}

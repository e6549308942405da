/**
 * Decides whether a run may still start on an entry that was asked to stop, so
 * that the end of the process cuts off no request.
 */

/** When the process was asked to stop, and when it ends at the latest. */
export interface PlannedStop {
  readonly requestedAtMs: number;
  readonly endsAtMs: number;
}

/** Later, requests must end before the process, however slow their target is. */
const ESTIMATE_FOR_MS = 2_000;
/** Time per output token that few generations exceed. */
const SLOW_TOKEN_MS = 14;

export interface PlannedRun {
  readonly objectiveMs: number;
  readonly maxOutputTokens: number;
  /** When the request gets its final response at the latest. */
  readonly endsAtMs: number;
}

/** Soon after the stop request an estimate is enough. */
export function canFinishBeforeStop(
  run: PlannedRun,
  stop: PlannedStop | undefined,
  nowMs: number,
): boolean {
  if (stop === undefined || run.endsAtMs < stop.endsAtMs) return true;
  if (nowMs - stop.requestedAtMs > ESTIMATE_FOR_MS) return false;
  const runMs = run.objectiveMs + run.maxOutputTokens * SLOW_TOKEN_MS;
  return nowMs + runMs < stop.endsAtMs;
}

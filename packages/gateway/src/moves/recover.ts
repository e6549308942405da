/**
 * Where a stream goes on whose connection broke in the middle while its target
 * lives: the target is asked to stop the run and to hand its memory over, so
 * that no two targets work on it.
 */
import {resumeAfterStop, type Destination, type MoveResult} from './move.js';
import type {TargetEndpoint, KvCacheMover} from './types.js';

const STOP_TIMEOUT_MS = 700;

export interface RecoverOptions {
  readonly attemptId: string;
  readonly source: TargetEndpoint;
  readonly mover: KvCacheMover;
  readonly findDestination: () => Promise<Destination | undefined>;
  readonly isOver: () => boolean;
}

/** Undefined when the target has died, or has dropped the run. */
export async function recoverRun(
  options: RecoverOptions,
): Promise<MoveResult | undefined> {
  const {attemptId, source, mover} = options;
  const destination = await options.findDestination();
  if (destination === undefined) return undefined;
  if (options.isOver()) {
    destination.release(false);
    return undefined;
  }
  const response = await mover.copy(
    source.address,
    attemptId,
    destination.address,
    true,
    STOP_TIMEOUT_MS,
  );
  return resumeAfterStop(response, source, destination);
}

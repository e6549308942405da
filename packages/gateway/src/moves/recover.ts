/**
 * Recovery of a stream whose connection broke midway while its target is alive:
 * the target stops the run and copies its KV cache, so that no two targets work
 * on the same run.
 */
import {resumeAfterStop, type Destination, type MoveResult} from './move.js';
import type {StopOrder} from './stop-order.js';
import type {TargetEndpoint, KvCacheMover} from './types.js';

const STOP_TIMEOUT_MS = 700;

export interface RecoverOptions {
  readonly attemptId: string;
  readonly source: TargetEndpoint;
  readonly mover: KvCacheMover;
  /** Keeps what is known about the order to stop the run. */
  readonly stopOrder: StopOrder;
  readonly findDestination: () => Promise<Destination | undefined>;
  readonly isOver: () => boolean;
}

/** Returns undefined when the target has crashed or has dropped the run. */
export async function recoverRun(
  options: RecoverOptions,
): Promise<MoveResult | undefined> {
  const {attemptId, source, mover, stopOrder} = options;
  const destination = await options.findDestination();
  if (destination === undefined) return undefined;
  if (options.isOver()) {
    destination.release();
    return undefined;
  }
  stopOrder.noteOrdered();
  const response = await mover.copy(
    source.address,
    attemptId,
    destination.address,
    true,
    STOP_TIMEOUT_MS,
  );
  stopOrder.noteAnswer(response, performance.now());
  return resumeAfterStop(response, source, destination);
}

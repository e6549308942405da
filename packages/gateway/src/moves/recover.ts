/**
 * Where a stream goes on whose connection broke in the middle while its target
 * lives: the target is asked to stop the run and to hand its memory over, so
 * that no two targets work on it.
 */
import type {TargetId} from '@samphirefield/core';
import type {UpstreamAddress} from '../upstream/index.js';
import type {Destination, MoveResult} from './move.js';
import type {MemoryMover} from './types.js';

const STOP_TIMEOUT_MS = 700;

export interface RecoverOptions {
  readonly attempt: string;
  readonly source: {
    readonly target: TargetId;
    readonly address: UpstreamAddress;
  };
  readonly mover: MemoryMover;
  readonly findDestination: () => Promise<Destination | undefined>;
  readonly isOver: () => boolean;
}

/** Undefined when the target has died, or has dropped the run. */
export async function recoverRun(
  options: RecoverOptions,
): Promise<MoveResult | undefined> {
  const {attempt, source, mover} = options;
  const destination = await options.findDestination();
  if (destination === undefined) return undefined;
  if (options.isOver()) {
    destination.release(false);
    return undefined;
  }
  const answer = await mover.copy(
    source.address,
    attempt,
    destination.address,
    true,
    STOP_TIMEOUT_MS,
  );
  const from = source.address;
  if (answer.kind === 'copied') {
    const {target, address} = destination;
    const resume = {target, address, from, handle: answer.handle};
    return {resume, destination};
  }
  destination.release(false);
  if (answer.kind !== 'refused' || answer.handle === undefined) {
    return undefined;
  }
  const resume = {...source, from, handle: answer.handle};
  return {resume, destination: undefined};
}

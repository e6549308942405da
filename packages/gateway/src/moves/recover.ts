/**
 * Where a stream goes on whose connection broke in the middle. A target that
 * lives is asked to stop the run and hand its memory over, so that no two
 * targets work on it; one that is gone leaves the backup.
 */
import type {TargetId} from '@samphirefield/core';
import type {UpstreamAddress} from '../upstream/index.js';
import type {Destination, MoveResult} from './move.js';
import type {MemoryMover} from './types.js';

const STOP_TIMEOUT_MS = 700;

interface Holder {
  readonly target: TargetId;
  readonly address: UpstreamAddress;
}

export interface RecoverOptions {
  readonly attempt: string;
  readonly source: Holder;
  readonly backup: Holder | undefined;
  readonly mover: MemoryMover;
  readonly findDestination: () => Promise<Destination | undefined>;
  readonly isOver: () => boolean;
}

function fromBackup(
  {attempt, mover}: RecoverOptions,
  backup: Holder,
): MoveResult {
  const handle = mover.backupHandle(attempt);
  const resume = {...backup, from: backup.address, handle};
  return {resume, destination: undefined};
}

/** Undefined when neither the target nor a backup has the run's memory. */
export async function recoverRun(
  options: RecoverOptions,
): Promise<MoveResult | undefined> {
  const {attempt, source, backup, mover} = options;
  const destination = await options.findDestination();
  const to = destination ?? backup;
  if (to === undefined || options.isOver()) {
    destination?.release(false);
    return undefined;
  }
  const answer = await mover.copy(
    source.address,
    attempt,
    to.address,
    true,
    STOP_TIMEOUT_MS,
  );
  if (answer.kind === 'copied') {
    const {target, address} = to;
    const resume = {
      target,
      address,
      from: source.address,
      handle: answer.handle,
    };
    return {resume, destination};
  }
  destination?.release(false);
  if (answer.kind === 'refused' && answer.handle !== undefined) {
    const resume = {...source, from: source.address, handle: answer.handle};
    return {resume, destination: undefined};
  }
  return backup && fromBackup(options, backup);
}

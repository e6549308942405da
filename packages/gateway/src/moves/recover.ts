/**
 * Where a stream goes on whose connection broke in the middle. A target that
 * lives is asked to stop the run and to hand its memory over, so that no two
 * targets work on it. If it cannot be asked, or has lost the run, the stream
 * goes on from the copy that was kept elsewhere.
 */
import type {Destination, MoveResult, RunSource} from './move.js';
import type {StandbyCopy} from './standby.js';
import type {CopyAnswer, MemoryMover} from './types.js';

const STOP_TIMEOUT_MS = 700;

export interface RecoverOptions {
  readonly attempt: string;
  readonly source: RunSource;
  readonly mover: MemoryMover;
  readonly findDestination: () => Promise<Destination | undefined>;
  /** The copy that was kept, if there is one. */
  readonly copy: StandbyCopy | undefined;
  readonly isOver: () => boolean;
}

/** Undefined when the run is lost. */
export async function recoverRun(
  options: RecoverOptions,
): Promise<MoveResult | undefined> {
  const {attempt, source, mover, copy} = options;
  const destination = copy?.destination ?? (await options.findDestination());
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
  const handle = handleAt(answer) ?? copy?.handle;
  const from = source.address;
  if (answer.kind !== 'refused' && handle !== undefined) {
    const {target, address} = destination;
    return {resume: {target, address, from, handle}, destination};
  }
  destination.release(false);
  if (handle === undefined) return undefined;
  return {resume: {...source, from, handle}, destination: undefined};
}

function handleAt(answer: CopyAnswer): string | undefined {
  const hasHandle = answer.kind === 'copied' || answer.kind === 'refused';
  return hasHandle ? answer.handle : undefined;
}

/**
 * One move of a running generation to another target: find a destination, copy
 * the KV cache while the generation runs, then stop it and copy the remainder.
 * The stopped generation resumes on the destination, or on the source when the
 * last copy failed.
 */
import {setTimeout as delay} from 'node:timers/promises';
import type {RequestId, TargetId} from '@samphirefield/core';
import type {StopOrder} from './stop-order.js';
import type {
  CopyResponse,
  TargetEndpoint,
  KvCacheMover,
  ResumePoint,
} from './types.js';

const COPY_TIMEOUT_MS = 2_500;
const START_POLL_MS = 40;
/** The move proceeds after this many polls even if no response has started. */
const MAX_START_POLLS = 100;
const COPY_RETRY_MS = 120;
const MAX_COPY_ATTEMPTS = 14;
const MAX_DESTINATIONS = 3;
/** Pause before a run for which no target has room asks again. */
const ROOM_RETRY_MS = 100;
/** The longest notice that targets give, in such pauses. */
const MAX_ROOM_ATTEMPTS = 60;

/** A reserved target that a generation may move to. */
export interface Destination extends TargetEndpoint {
  /** The run that holds the reservation. */
  readonly run: RequestId;
  /** Releases a reservation on which the generation does not resume. */
  release(): void;
}

export interface MoveOptions {
  readonly attemptId: string;
  readonly source: TargetEndpoint;
  readonly mover: KvCacheMover;
  /** Keeps what is known about the order to stop the run. */
  readonly stopOrder: StopOrder;
  /** Reserves another target; undefined when none is available. */
  readonly findDestination: (
    excluded: readonly TargetId[],
  ) => Promise<Destination | undefined>;
  /**
   * Whether the run has started its response; before, it has nothing to copy.
   */
  readonly hasStarted: () => boolean;
  /** Resolves when this run may use the link of the source. */
  readonly acquirePermit: () => Promise<void>;
  readonly releasePermit: () => void;
  /** Whether the run has ended or its caller has disconnected. */
  readonly isOver: () => boolean;
  readonly log: (step: string, fields: Record<string, string>) => void;
}

export interface MoveResult {
  readonly resume: ResumePoint;
  /** Undefined when the run resumes on its source. */
  readonly destination: Destination | undefined;
}

type CopyOutcome =
  | {readonly kind: 'copied'; readonly handle: string}
  | {readonly kind: 'try_another'}
  | {readonly kind: 'give_up'};

/**
 * Copies the KV cache of the running generation. Retries while the source has
 * no such run yet or is busy.
 */
async function copyWhileRunning(
  options: MoveOptions,
  destination: Destination,
): Promise<CopyOutcome> {
  for (
    let attempts = 0;
    attempts < MAX_COPY_ATTEMPTS && !options.isOver();
    attempts += 1
  ) {
    const response = await copy(options, destination, false);
    switch (response.kind) {
      case 'copied':
        return {kind: 'copied', handle: response.handle};
      case 'no_run':
      case 'busy':
        await delay(COPY_RETRY_MS);
        break;
      case 'refused':
        return {kind: 'try_another'};
      case 'unreachable':
        return {kind: 'give_up'};
    }
  }
  return {kind: 'give_up'};
}

async function copy(
  options: MoveOptions,
  destination: Destination,
  isLast: boolean,
): Promise<CopyResponse> {
  const {mover, source, attemptId} = options;
  const fields = {destination: destination.target};
  if (isLast) options.log('order_last_copy', fields);
  const response = await mover.copy(
    source.address,
    attemptId,
    destination.address,
    isLast,
    COPY_TIMEOUT_MS,
  );
  options.log(isLast ? 'last_copy' : 'copy', {
    answer: response.kind,
    ...fields,
  });
  return response;
}

/**
 * Returns where a run resumes that was stopped for its last copy: on the
 * destination, or on the source when the copy failed. Returns undefined when
 * the KV cache is lost.
 */
export function resumeAfterStop(
  response: CopyResponse,
  source: TargetEndpoint,
  destination: Destination,
): MoveResult | undefined {
  const from = source.address;
  if (response.kind === 'copied') {
    const {target, address} = destination;
    const resume = {target, address, from, handle: response.handle};
    return {resume, destination};
  }
  destination.release();
  if (response.kind !== 'refused' || response.handle === undefined) {
    return undefined;
  }
  const {target, address} = source;
  const resume = {target, address, from, handle: response.handle};
  return {resume, destination: undefined};
}

/** Stops the run and copies the remainder of its KV cache. */
async function stopAndCopyRemainder(
  options: MoveOptions,
  destination: Destination,
): Promise<MoveResult | undefined> {
  const {stopOrder} = options;
  stopOrder.noteOrdered();
  const response = await copy(options, destination, true);
  stopOrder.noteAnswer(response, performance.now());
  return resumeAfterStop(response, options.source, destination);
}

async function waitForStart(options: MoveOptions): Promise<void> {
  let polls = 0;
  while (!options.hasStarted() && !options.isOver()) {
    if (polls >= MAX_START_POLLS) return;
    polls += 1;
    await delay(START_POLL_MS);
  }
}

/**
 * Moves a run; asks again while no target has room, without holding up other
 * runs of the source. Returns undefined when the run stays on its source or is
 * lost with it.
 */
export async function moveRun(
  options: MoveOptions,
): Promise<MoveResult | undefined> {
  await waitForStart(options);
  for (let attempts = 0; attempts < MAX_ROOM_ATTEMPTS; attempts += 1) {
    const outcome = await moveOnce(options);
    if (outcome !== 'no_room') return outcome;
    await delay(ROOM_RETRY_MS);
    if (options.isOver()) return undefined;
  }
  return undefined;
}

async function moveOnce(
  options: MoveOptions,
): Promise<MoveResult | 'no_room' | undefined> {
  await options.acquirePermit();
  try {
    return await moveWithPermit(options);
  } finally {
    options.releasePermit();
  }
}

async function moveWithPermit(
  options: MoveOptions,
): Promise<MoveResult | 'no_room' | undefined> {
  const excluded: TargetId[] = [options.source.target];
  for (let attempts = 0; attempts < MAX_DESTINATIONS; attempts += 1) {
    if (options.isOver()) return undefined;
    const destination = await options.findDestination(excluded);
    if (destination === undefined) {
      options.log('no_destination', {});
      return 'no_room';
    }
    const outcome = await copyWhileRunning(options, destination);
    if (outcome.kind === 'copied' && !options.isOver()) {
      return stopAndCopyRemainder(options, destination);
    }
    destination.release();
    if (outcome.kind === 'copied') {
      options.mover.drop(options.source.address, outcome.handle);
      return undefined;
    }
    if (outcome.kind === 'give_up') return undefined;
    excluded.push(destination.target);
  }
  return undefined;
}

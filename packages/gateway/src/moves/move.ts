/**
 * One move of a running generation: find a destination, copy its memory while
 * it runs, then stop it and copy the rest. What stopped goes on at the
 * destination, or at the source when the last copy failed.
 */
import {setTimeout as delay} from 'node:timers/promises';
import type {TargetId} from '@samphirefield/core';
import type {
  CopyResponse,
  TargetEndpoint,
  KvCacheMover,
  ResumePoint,
} from './types.js';

const COPY_TIMEOUT_MS = 2_500;
const START_POLL_MS = 40;
const MAX_START_POLLS = 100;
const COPY_RETRY_MS = 120;
const MAX_COPY_ATTEMPTS = 14;
const MAX_DESTINATIONS = 3;

export interface Destination extends TargetEndpoint {
  /** Gives the place back. */
  release(isUsed: boolean): void;
}

export interface MoveOptions {
  readonly attemptId: string;
  readonly source: TargetEndpoint;
  readonly mover: KvCacheMover;
  /** A place on another target, if there is one. */
  readonly findDestination: (
    excluded: readonly TargetId[],
  ) => Promise<Destination | undefined>;
  /** Whether the run has begun to answer; before, there is nothing to copy. */
  readonly hasStarted: () => boolean;
  /** Resolves when it is this run's turn on the source's link. */
  readonly acquirePermit: () => Promise<void>;
  readonly releasePermit: () => void;
  /** Whether the run has ended, or its caller has left. */
  readonly isOver: () => boolean;
  readonly log: (step: string, fields: Record<string, string>) => void;
}

export interface MoveResult {
  readonly resume: ResumePoint;
  readonly destination: Destination | undefined;
}

type CopyOutcome =
  | {readonly kind: 'copied'; readonly handle: string}
  | {readonly kind: 'try_another'}
  | {readonly kind: 'give_up'};

/** Asks until the run is there to be copied, or cannot be. */
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
  const {mover, source, attemptId: attempt} = options;
  const response = await mover.copy(
    source.address,
    attempt,
    destination.address,
    isLast,
    COPY_TIMEOUT_MS,
  );
  options.log(isLast ? 'last_copy' : 'copy', {
    answer: response.kind,
    destination: destination.target,
  });
  return response;
}

/**
 * Where a run goes on that was stopped for its last copy: at the destination,
 * or at its source when the copy failed. Undefined when its memory is lost.
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
  destination.release(false);
  if (response.kind !== 'refused' || response.handle === undefined) {
    return undefined;
  }
  const {target, address} = source;
  const resume = {target, address, from, handle: response.handle};
  return {resume, destination: undefined};
}

/** Stops the run and copies the rest of its memory. */
async function stopAndCopyRemainder(
  options: MoveOptions,
  destination: Destination,
): Promise<MoveResult | undefined> {
  const response = await copy(options, destination, true);
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

/** Undefined when the run stays where it is, or is lost with its target. */
export async function moveRun(
  options: MoveOptions,
): Promise<MoveResult | undefined> {
  await waitForStart(options);
  await options.acquirePermit();
  try {
    return await moveWithPermit(options);
  } finally {
    options.releasePermit();
  }
}

async function moveWithPermit(
  options: MoveOptions,
): Promise<MoveResult | undefined> {
  const excluded: TargetId[] = [options.source.target];
  for (let attempts = 0; attempts < MAX_DESTINATIONS; attempts += 1) {
    if (options.isOver()) return undefined;
    const destination = await options.findDestination(excluded);
    if (destination === undefined) {
      options.log('no_destination', {});
      return undefined;
    }
    const outcome = await copyWhileRunning(options, destination);
    if (outcome.kind === 'copied' && !options.isOver()) {
      return stopAndCopyRemainder(options, destination);
    }
    destination.release(false);
    if (outcome.kind === 'copied') {
      options.mover.drop(options.source.address, outcome.handle);
      return undefined;
    }
    if (outcome.kind === 'give_up') return undefined;
    excluded.push(destination.target);
  }
  return undefined;
}

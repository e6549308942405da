/** Reads request bodies up to a maximum size. */
import type {IncomingMessage} from 'node:http';
import type {Result} from 'neverthrow';
import {readBody as readReservedBody} from '@samphirefield/core';
import {notRun, type ApiError} from './errors.js';

export type BodyError =
  | {readonly kind: 'too_large'}
  | {readonly kind: 'cut_off'}
  /** The process has no memory for the body now. */
  | {readonly kind: 'no_memory'};

const KINDS = {
  too_large: 'too_large',
  caller_left: 'cut_off',
  no_memory: 'no_memory',
} as const;

/** For a request whose body was not read for lack of memory. */
export const NO_MEMORY: ApiError = notRun(
  503,
  'no_memory',
  'this entry has no memory for the body now',
  1,
);

export async function readBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<Result<Buffer, BodyError>> {
  const body = await readReservedBody(request, maxBytes);
  return body.mapErr(error => ({kind: KINDS[error]}));
}

/**
 * Frees the buffers of received data before they take memory that the account
 * counts on. V8 keeps young buffers, which live outside of its heap, until they
 * reach 32 MB; a collection of the young generation after each 8 MB frees them,
 * and takes about a millisecond.
 */
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

const COLLECT_EVERY_BYTES = 8 * 1_048_576;

type CollectGarbage = (options: {readonly type: 'minor'}) => void;

let collectGarbage: CollectGarbage | undefined;
let receivedBytes = 0;

/** Switches the collections on for this process. */
export function enableCollections(): void {
  setFlagsFromString('--expose-gc');
  collectGarbage = runInNewContext('gc') as CollectGarbage;
  setFlagsFromString('--no-expose-gc');
}

/** Counts data that a socket has received. */
export function noteReceived(bytes: number): void {
  receivedBytes += bytes;
  if (receivedBytes < COLLECT_EVERY_BYTES) return;
  receivedBytes = 0;
  collectGarbage?.({type: 'minor'});
}

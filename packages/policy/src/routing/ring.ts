/** Consistent hashing: a key keeps its target while other targets change. */
import {hash32} from './hash.js';
import type {Candidate, CandidateList, RingPoint} from './types.js';

const POINTS_PER_CANDIDATE = 16;

/** Places every candidate at several points of a hash ring. */
export function createCandidateList(
  candidates: readonly Candidate[],
): CandidateList {
  const ring: RingPoint[] = [];
  for (const candidate of candidates) {
    for (let point = 0; point < POINTS_PER_CANDIDATE; point += 1) {
      ring.push({hash: hash32(`${candidate.target}#${point}`), candidate});
    }
  }
  ring.sort((a, b) => a.hash - b.hash);
  return {candidates, ring};
}

/**
 * Returns the first accepted candidate on the ring, clockwise from the key's
 * hash.
 */
export function findOnRing(
  ring: readonly RingPoint[],
  key: string,
  isAccepted: (candidate: Candidate) => boolean,
): Candidate | undefined {
  const first = firstAtOrAfter(ring, hash32(key));
  for (let step = 0; step < ring.length; step += 1) {
    const {candidate} = ring[(first + step) % ring.length]!;
    if (isAccepted(candidate)) return candidate;
  }
  return undefined;
}

/** Returns the index of the first point whose hash is not below `hash`. */
function firstAtOrAfter(ring: readonly RingPoint[], hash: number): number {
  let low = 0;
  let high = ring.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (ring[middle]!.hash < hash) low = middle + 1;
    else high = middle;
  }
  return low;
}

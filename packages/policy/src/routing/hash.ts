/**
 * Hash functions. With rendezvous hashing a key maps to the same member while
 * other members change.
 */
import xxhash from 'xxhash-wasm';

const {h32} = await xxhash();

/** Returns the score of a pair; the key maps to the highest scoring member. */
export function rendezvousScore(key: string, member: string): number {
  return h32(`${key}\0${member}`);
}

/** Returns the 32-bit xxHash of a text. */
export function hash32(text: string): number {
  return h32(text);
}

/** Rendezvous hashing: a stable home for a key among changing targets. */
import xxhash from 'xxhash-wasm';

const {h32} = await xxhash();

/** A number for the pair; the target with the largest one is the key's home. */
export function rendezvousScore(key: string, member: string): number {
  return h32(`${key}\0${member}`);
}

export function hash32(text: string): number {
  return h32(text);
}

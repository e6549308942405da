/** A seeded random number generator. */
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

export interface Random {
  /** Returns a random integer from 0 up to but not including `bound`. */
  readonly below: (bound: number) => number;
  /** Returns true with the given probability. */
  readonly chance: (probability: number) => boolean;
  /** Returns a random integer from `low` to `high`, both included. */
  readonly between: (low: number, high: number) => number;
  /** Returns a random item, or undefined if there is none. */
  readonly pick: <T>(items: readonly T[]) => T | undefined;
}

const PROBABILITY_STEPS = 1_000_000;

export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  const between = (low: number, high: number) =>
    uniformInt(generator, low, high);
  const below = (bound: number) => between(0, bound - 1);
  return {
    below,
    between,
    chance: probability =>
      below(PROBABILITY_STEPS) < probability * PROBABILITY_STEPS,
    pick: items =>
      items.length === 0 ? undefined : items[below(items.length)],
  };
}

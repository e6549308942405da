/** Divides whole units by weights, largest remainders first. */

export interface WeightedShare {
  readonly key: string;
  readonly weight: number;
  /** Settles equal remainders; larger goes first. */
  readonly tieBreak: number;
}

/** Returns the units of each share, in the order of `shares`. */
export function divideUnits(
  units: number,
  shares: readonly WeightedShare[],
): readonly number[] {
  const totalWeight = shares.reduce((sum, share) => sum + share.weight, 0);
  if (units <= 0 || totalWeight === 0) return shares.map(() => 0);
  const exact = shares.map(share => (units * share.weight) / totalWeight);
  const given = exact.map(Math.floor);
  let left = units - given.reduce((sum, value) => sum + value, 0);
  const order = shares
    .map((share, position) => ({
      position,
      remainder: exact[position]! - given[position]!,
      tieBreak: share.tieBreak,
    }))
    .sort((a, b) => b.remainder - a.remainder || b.tieBreak - a.tieBreak);
  for (const {position} of order) {
    if (left === 0) break;
    given[position]! += 1;
    left -= 1;
  }
  return given;
}

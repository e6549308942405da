/** Divides whole units by weights, largest remainders first. */

/** One party to the division. */
export interface WeightedShare {
  readonly key: string;
  readonly weight: number;
  /** Orders equal remainders; the larger one goes first. */
  readonly tieBreak: number;
}

/**
 * Returns the units of each share, in the order of `shares`. Without units or
 * weights every share gets 0.
 */
export function divideUnits(
  units: number,
  shares: readonly WeightedShare[],
): readonly number[] {
  const totalWeight = shares.reduce((sum, share) => sum + share.weight, 0);
  if (units <= 0 || totalWeight === 0) return shares.map(() => 0);
  const exact = shares.map(share => (units * share.weight) / totalWeight);
  const assigned = exact.map(Math.floor);
  let remainingUnits = units - assigned.reduce((sum, value) => sum + value, 0);
  const order = shares
    .map((share, position) => ({
      position,
      remainder: exact[position]! - assigned[position]!,
      tieBreak: share.tieBreak,
    }))
    .sort((a, b) => b.remainder - a.remainder || b.tieBreak - a.tieBreak);
  for (const {position} of order) {
    if (remainingUnits === 0) break;
    assigned[position]! += 1;
    remainingUnits -= 1;
  }
  return assigned;
}

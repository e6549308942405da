/**
 * Expects the rest of an output from how long it already is. Nobody knows the
 * length ahead: the longer an output has run, the more is left of a heavy tail.
 */
import type {LengthHistogram} from './types.js';

const BUCKETS_PER_DOUBLING = 2;
const BUCKETS = 40;
/** Old outputs lose half their weight after about this many new ones. */
const MEMORY_OUTPUTS = 2_000;
/** Weight of the outputs that stand in before any was seen. */
const PRIOR_WEIGHT = 4;
const PRIOR_TOKENS = [64, 256, 512, 1_024];

function bucketOf(tokens: number): number {
  const bucket = Math.floor(Math.log2(tokens + 1) * BUCKETS_PER_DOUBLING);
  return Math.min(BUCKETS - 1, bucket);
}

export function createLengthHistogram(): LengthHistogram {
  const histogram: LengthHistogram = {
    counts: new Float64Array(BUCKETS),
    sums: new Float64Array(BUCKETS),
    total: 0,
  };
  const weight = PRIOR_WEIGHT / PRIOR_TOKENS.length;
  for (const tokens of PRIOR_TOKENS) add(histogram, tokens, weight);
  return histogram;
}

function add(histogram: LengthHistogram, tokens: number, weight: number): void {
  const bucket = bucketOf(tokens);
  histogram.counts[bucket]! += weight;
  histogram.sums[bucket]! += tokens * weight;
  histogram.total += weight;
}

export function recordLength(histogram: LengthHistogram, tokens: number): void {
  add(histogram, tokens, 1);
  if (histogram.total <= MEMORY_OUTPUTS) return;
  const KEPT = 0.5;
  for (let bucket = 0; bucket < BUCKETS; bucket += 1) {
    histogram.counts[bucket]! *= KEPT;
    histogram.sums[bucket]! *= KEPT;
  }
  histogram.total *= KEPT;
}

/** The mean rest of an output that has `generatedTokens` so far. */
export function expectedRemainingTokens(
  histogram: LengthHistogram,
  generatedTokens: number,
): number {
  let weight = 0;
  let sum = 0;
  for (let bucket = bucketOf(generatedTokens); bucket < BUCKETS; bucket += 1) {
    const count = histogram.counts[bucket]!;
    if (count === 0) continue;
    const mean = histogram.sums[bucket]! / count;
    if (mean <= generatedTokens) continue;
    weight += count;
    sum += histogram.sums[bucket]!;
  }
  // Past every output seen so far: expect about as much again.
  if (weight === 0) return Math.max(1, generatedTokens);
  return Math.max(1, sum / weight - generatedTokens);
}

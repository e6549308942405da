/**
 * Estimates the remaining tokens of an output from its length so far. The final
 * length isn't known in advance. Lengths have a heavy tail, so the expected
 * remainder grows with the length so far.
 */
import type {LengthHistogram} from './types.js';

const BUCKETS_PER_DOUBLING = 2;
const BUCKETS = 40;
/** The weight of old outputs is halved after about this many new ones. */
const HALVING_OUTPUTS = 2_000;
/** Total weight of the assumed outputs that a new histogram starts with. */
const PRIOR_WEIGHT = 4;
const PRIOR_TOKENS = [64, 256, 512, 1_024];

function bucketOf(tokens: number): number {
  const bucket = Math.floor(Math.log2(tokens + 1) * BUCKETS_PER_DOUBLING);
  return Math.min(BUCKETS - 1, bucket);
}

/** Creates a histogram that holds the assumed outputs only. */
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

/** Adds the length of a finished output. */
export function recordLength(histogram: LengthHistogram, tokens: number): void {
  add(histogram, tokens, 1);
  if (histogram.total <= HALVING_OUTPUTS) return;
  const KEPT_SHARE = 0.5;
  for (let bucket = 0; bucket < BUCKETS; bucket += 1) {
    histogram.counts[bucket]! *= KEPT_SHARE;
    histogram.sums[bucket]! *= KEPT_SHARE;
  }
  histogram.total *= KEPT_SHARE;
}

/** Returns the mean remaining tokens, at least 1, after `generatedTokens`. */
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
  // The output is longer than all recorded ones: expects about as much again.
  if (weight === 0) return Math.max(1, generatedTokens);
  return Math.max(1, sum / weight - generatedTokens);
}

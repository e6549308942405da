/** Latencies in buckets, each wider than the one before by the same factor. */

/** Two buckets double the latency: fine enough to see a factor of two. */
const BUCKETS_PER_DOUBLING = 2;
/** The last bucket begins at 65 s, above any deadline of a first byte. */
export const LATENCY_BUCKETS = 33;

/** The bucket of a latency; the first one ends at 1 ms. */
export function latencyBucket(latencyMs: number): number {
  if (!(latencyMs > 1)) return 0;
  const bucket = Math.ceil(BUCKETS_PER_DOUBLING * Math.log2(latencyMs));
  return Math.min(bucket, LATENCY_BUCKETS - 1);
}

/** The smallest number of buckets that is at least this factor. */
export function bucketsOf(factor: number): number {
  return Math.ceil(BUCKETS_PER_DOUBLING * Math.log2(factor));
}

/** The longest latency of a bucket. */
export function bucketEndMs(bucket: number): number {
  return 2 ** (bucket / BUCKETS_PER_DOUBLING);
}

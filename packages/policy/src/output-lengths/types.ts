/** Histograms of past output lengths, by service and workspace. */
export interface LengthHistogram {
  /** Weight of outputs per bucket; buckets grow by a constant factor. */
  readonly counts: Float64Array;
  /** Sum of the lengths in each bucket. */
  readonly sums: Float64Array;
  total: number;
}

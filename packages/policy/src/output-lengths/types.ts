/** Histogram of past output lengths, in tokens, of one service and workspace. */
export interface LengthHistogram {
  /** Weight of the outputs in each bucket; bucket widths grow exponentially. */
  readonly counts: Float64Array;
  /** Weighted sum of the lengths in each bucket, in tokens. */
  readonly sums: Float64Array;
  /** Weight of all outputs. */
  total: number;
}

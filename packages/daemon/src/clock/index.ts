/** The two clocks of a daemon. Leases and timeouts use the monotonic one. */
import {performance} from 'node:perf_hooks';

export interface Clock {
  /** Milliseconds on the monotonic clock, since an arbitrary start. */
  readonly nowMs: () => number;
  /** Unix time in milliseconds, for records that people read. */
  readonly wallMs: () => number;
}

export const systemClock: Clock = {
  nowMs: () => Math.trunc(performance.now()),
  wallMs: () => Date.now(),
};

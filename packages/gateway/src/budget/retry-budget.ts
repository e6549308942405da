/**
 * A retry budget that all entries share. Each entry may use its share of the
 * fixed allowance and a ratio of the requests that it accepted itself. So the
 * sum over all entries stays within the limit without a message per retry.
 */
import type {ServiceId} from '@samphirefield/core';
import type {RetryBudget} from '../exchange/index.js';

export interface RetryLimit {
  /** Retries allowed per request. */
  readonly ratio: number;
  /** Further retries allowed over all entries in one window. */
  readonly fixedAllowance: number;
  readonly windowMs: number;
}

/** Share of the limit that is used; the remainder covers changing entries. */
const SAFETY = 0.7;

interface Counts {
  requestsAtMs: number[];
  retriesAtMs: number[];
}

export function createRetryBudget(
  limit: RetryLimit,
  entryCount: () => number,
  nowMs: () => number,
): RetryBudget {
  const services = new Map<ServiceId, Counts>();
  const countsOf = (service: ServiceId): Counts => {
    const counts = services.get(service) ?? {requestsAtMs: [], retriesAtMs: []};
    services.set(service, counts);
    return counts;
  };
  const dropExpired = (times: number[]) => {
    const oldestMs = nowMs() - limit.windowMs;
    const kept = times.findIndex(time => time > oldestMs);
    times.splice(0, kept < 0 ? times.length : kept);
  };
  return {
    recordRequest: service => {
      const {requestsAtMs} = countsOf(service);
      dropExpired(requestsAtMs);
      requestsAtMs.push(nowMs());
    },
    tryConsume: service => {
      const {requestsAtMs, retriesAtMs} = countsOf(service);
      dropExpired(requestsAtMs);
      dropExpired(retriesAtMs);
      const allowed =
        SAFETY *
        (limit.ratio * requestsAtMs.length +
          limit.fixedAllowance / Math.max(1, entryCount()));
      if (retriesAtMs.length + 1 > allowed) return false;
      retriesAtMs.push(nowMs());
      return true;
    },
  };
}

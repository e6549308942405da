/**
 * A budget of retries that all entries share: each may use its part of the
 * fixed slack, and a ratio of the requests that it took itself. So the sum
 * stays within the bound without a message per retry.
 */
import type {ServiceId} from '@samphirefield/core';
import type {RetryBudget} from '../exchange/index.js';

export interface RetryLimit {
  /** Retries allowed per request. */
  readonly ratio: number;
  /** Retries allowed besides, over all entries, in one window. */
  readonly fixedAllowance: number;
  readonly windowMs: number;
}

/** Part of the bound that is used, for entries that come and go. */
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
    const known = services.get(service) ?? {requestsAtMs: [], retriesAtMs: []};
    services.set(service, known);
    return known;
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

/** The work that a request needs, as far as it is known before it runs. */
import type {AdmissionRequest} from './types.js';

/** Rate of prefill beside running requests, until it is learned. */
export const PREFILL_TOKENS_PER_MS = 6;
/** Time between output tokens on a full engine. */
export const MS_PER_OUTPUT_TOKEN = 14;
/**
 * A run that ends within this time gives its room back before an engine that
 * leaves now has stopped: the shortest notice is 1.5 s.
 */
const NOTICE_MS = 1_500;
/**
 * Outputs are off by factors from what is expected, so only a request that
 * could not end with this share of it is given up.
 */
const LEAST_RUN_SHARE = 0.5;

/** From the start of the prefill to the last token. */
export function expectedRunMs(request: AdmissionRequest): number {
  const {kvTokens, prefillTokens} = request;
  const outputTokens = Math.max(0, kvTokens - prefillTokens);
  return (
    prefillTokens / PREFILL_TOKENS_PER_MS + outputTokens * MS_PER_OUTPUT_TOKEN
  );
}

export function endsInNotice(request: AdmissionRequest): boolean {
  return expectedRunMs(request) <= NOTICE_MS;
}

/** The longest wait after which the request can still end by its deadline. */
export function longestWaitMs(request: AdmissionRequest): number {
  const {deadlineInMs, maxWaitMs} = request;
  if (deadlineInMs === undefined) return maxWaitMs;
  const leastRunMs = expectedRunMs(request) * LEAST_RUN_SHARE;
  return Math.min(maxWaitMs, deadlineInMs - leastRunMs);
}

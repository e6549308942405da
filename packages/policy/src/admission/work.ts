/** The work that a request needs, as far as it is known before it runs. */
import type {AdmissionRequest} from './types.js';

/**
 * Rate at which an engine prefills prompts beside its running requests. It is
 * the lower end of what engines reach, as a late first event costs most of a
 * request's worth.
 */
export const PREFILL_TOKENS_PER_MS = 6;
/** Time between output tokens on a full engine. */
const MS_PER_OUTPUT_TOKEN = 14;

export function prefillMs({prefillTokens}: AdmissionRequest): number {
  return prefillTokens / PREFILL_TOKENS_PER_MS;
}

/** From the start of the prefill to the last token. */
export function expectedRunMs(request: AdmissionRequest): number {
  const outputTokens = Math.max(0, request.kvTokens - request.prefillTokens);
  return prefillMs(request) + outputTokens * MS_PER_OUTPUT_TOKEN;
}

/** The longest wait after which the request can still end by its deadline. */
export function longestWaitMs(request: AdmissionRequest): number {
  const {deadlineInMs, maxWaitMs} = request;
  if (deadlineInMs === undefined) return maxWaitMs;
  return Math.min(maxWaitMs, deadlineInMs - prefillMs(request));
}

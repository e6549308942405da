/** Writes the gateway's own responses as HTTP. */
import type {ServerResponse} from 'node:http';
import type {LocalResponse} from './types.js';

const MS_PER_S = 1_000;

const STATUS: Readonly<Record<LocalResponse['kind'], number>> = {
  not_configured: 503,
  no_route: 404,
  unknown_key: 401,
  body_too_large: 413,
  request_timeout: 408,
  not_run: 503,
  outcome_unknown: 502,
  timed_out: 504,
};

/** When a caller should return if no place can be estimated. */
const RETRY_AFTER_DEFAULT_MS = 400;
/** `Retry-After` is at most this share of the request's remaining time. */
const RETRY_AFTER_SHARE = 0.3;

/** When the caller should return; with an estimate, not before that. */
export function retryAfterMs(
  response: LocalResponse,
  remainingMs: number,
): number {
  const estimateMs =
    response.kind === 'not_run' ? response.retryAfterMs : undefined;
  const shareMs = Math.max(0, remainingMs) * RETRY_AFTER_SHARE;
  return Math.min(estimateMs ?? RETRY_AFTER_DEFAULT_MS, shareMs);
}

export function statusOfLocalResponse(response: LocalResponse): number {
  return STATUS[response.kind];
}

/** Replaces "not run" by "outcome unknown", for a request that may have run. */
export function afterRun(response: LocalResponse): LocalResponse {
  if (response.kind !== 'not_run') return response;
  return {kind: 'outcome_unknown', reason: response.reason};
}

export function writeLocalResponse(
  res: ServerResponse,
  response: LocalResponse,
  retryAfterMs: number,
): void {
  const status = statusOfLocalResponse(response);
  const reason = 'reason' in response ? response.reason : undefined;
  const body = JSON.stringify({error: response.kind, reason});
  const headers: Record<string, string | number> = {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
  };
  if (status === 503) {
    headers['retry-after'] = (retryAfterMs / MS_PER_S).toFixed(2);
  }
  res.writeHead(status, headers);
  res.end(body);
}

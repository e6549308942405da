/**
 * Errors as callers receive them: in OpenAI's format, extended by the known
 * outcome of the request.
 */

/** The outcome of the request; left out where nothing was requested to run. */
export type Outcome = 'not_run' | 'unknown' | 'incomplete' | 'failed';

export interface ApiError {
  readonly status: number;
  readonly code: string;
  readonly message: string;
  readonly outcome: Outcome;
  readonly retryAfterS?: number;
}

export interface ApiErrorBody {
  readonly error: {
    readonly message: string;
    readonly type: string;
    readonly param: null;
    readonly code: string;
  };
  /** True only when the request is proven not to have run. */
  readonly not_run: boolean;
  readonly outcome: Outcome;
}

function errorTypeOf(status: number): string {
  if (status === 401) return 'authentication_error';
  if (status === 429) return 'rate_limit_error';
  return status < 500 ? 'invalid_request_error' : 'server_error';
}

export function toErrorBody(error: ApiError): ApiErrorBody {
  const {status, code, message, outcome} = error;
  return {
    error: {message, type: errorTypeOf(status), param: null, code},
    not_run: outcome === 'not_run',
    outcome,
  };
}

/** Creates an error for a request that is proven not to have run. */
export function notRun(
  status: number,
  code: string,
  message: string,
  retryAfterS?: number,
): ApiError {
  const base = {status, code, message, outcome: 'not_run' as const};
  return retryAfterS === undefined ? base : {...base, retryAfterS};
}

/** For new requests to an entry that shuts down; accepted requests are served. */
export const DRAINING = notRun(
  503,
  'draining',
  'this entry is shutting down',
  1,
);

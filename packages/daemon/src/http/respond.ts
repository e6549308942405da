/** Writes responses directly to Node's response object, bypassing hono's streams. */
import type {ServerResponse} from 'node:http';
import {toErrorBody, type ApiError} from './errors.js';

export function sendJson(
  response: ServerResponse,
  status: number,
  body: unknown,
  headers: Readonly<Record<string, string>> = {},
): void {
  if (response.headersSent || response.destroyed) return;
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
    ...headers,
  });
  response.end(text);
}

export function sendError(
  response: ServerResponse,
  error: ApiError,
  headers: Readonly<Record<string, string>> = {},
): void {
  const retryAfter: Record<string, string> =
    error.retryAfterS === undefined
      ? {}
      : {'retry-after': `${error.retryAfterS}`};
  sendJson(response, error.status, toErrorBody(error), {
    ...retryAfter,
    ...headers,
  });
}

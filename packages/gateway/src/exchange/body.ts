/** Reads a request's body up to a limit. */
import type {IncomingMessage} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import {ByteCollector} from '@samphirefield/core';

export type BodyError = 'too_large' | 'caller_left';

/** Fails with `caller_left` if the connection closes before the body ends. */
export function readBody(
  req: IncomingMessage,
  maxBytes: number,
): Promise<Result<Buffer, BodyError>> {
  const declared = Number(req.headers['content-length'] ?? 0);
  if (declared > maxBytes) return Promise.resolve(err('too_large'));
  return new Promise(resolve => {
    const body = new ByteCollector();
    let isTooLarge = false;
    req.on('data', (chunk: Buffer) => {
      isTooLarge ||= body.length + chunk.length > maxBytes;
      if (!isTooLarge) {
        body.push(chunk);
        return;
      }
      body.take();
      req.pause();
      resolve(err('too_large'));
    });
    req.on('end', () => resolve(ok(body.take())));
    req.on('error', () => resolve(err('caller_left')));
    req.on('close', () => resolve(err('caller_left')));
  });
}

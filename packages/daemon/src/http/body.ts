/** Reads request bodies up to a maximum size. */
import type {IncomingMessage} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import {ByteCollector} from '@samphirefield/core';

export type BodyError =
  {readonly kind: 'too_large'} | {readonly kind: 'cut_off'};

export async function readBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<Result<Buffer, BodyError>> {
  const declaredBytes = Number(request.headers['content-length'] ?? 0);
  if (declaredBytes > maxBytes) return err({kind: 'too_large'});
  const body = new ByteCollector();
  try {
    for await (const chunk of request) {
      const buffer = chunk as Buffer;
      if (body.length + buffer.length > maxBytes)
        return err({kind: 'too_large'});
      body.push(buffer);
    }
  } catch {
    return err({kind: 'cut_off'});
  }
  return ok(body.take());
}

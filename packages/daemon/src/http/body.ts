/** Reads request bodies up to a maximum size. */
import type {IncomingMessage} from 'node:http';
import {err, ok, type Result} from 'neverthrow';

export type BodyError =
  {readonly kind: 'too_large'} | {readonly kind: 'cut_off'};

export async function readBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<Result<Buffer, BodyError>> {
  const declaredBytes = Number(request.headers['content-length'] ?? 0);
  if (declaredBytes > maxBytes) return err({kind: 'too_large'});
  const chunks: Buffer[] = [];
  let bytes = 0;
  try {
    for await (const chunk of request) {
      const buffer = chunk as Buffer;
      bytes += buffer.length;
      if (bytes > maxBytes) return err({kind: 'too_large'});
      chunks.push(buffer);
    }
  } catch {
    return err({kind: 'cut_off'});
  }
  return ok(Buffer.concat(chunks));
}

/** Reads a request's body up to a limit. */
import type {IncomingMessage} from 'node:http';
import {err, ok, type Result} from 'neverthrow';

export type BodyError = 'too_large' | 'caller_left';

/** Fails with `caller_left` if the connection closes before the body ends. */
export function readBody(
  req: IncomingMessage,
  maxBytes: number,
): Promise<Result<Buffer, BodyError>> {
  const declared = Number(req.headers['content-length'] ?? 0);
  if (declared > maxBytes) return Promise.resolve(err('too_large'));
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    req.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes <= maxBytes) chunks.push(chunk);
      else {
        chunks.length = 0;
        req.pause();
        resolve(err('too_large'));
      }
    });
    req.on('end', () => resolve(ok(Buffer.concat(chunks))));
    req.on('error', () => resolve(err('caller_left')));
    req.on('close', () => resolve(err('caller_left')));
  });
}

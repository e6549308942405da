/** The lines in which daemons send each other messages, also deflated. */
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {err, ok, type Result} from 'neverthrow';

/** Lines from this length on are deflated where the other side reads that. */
export const DEFLATED_FROM_CHARS = 16_384;

/** A line in base64 of its deflated bytes. */
export interface DeflatedLine {
  readonly line: string;
}

/** A notification as one line, to be sent to many peers. */
export function serializeNotification(method: string, params: object): string {
  return JSON.stringify({jsonrpc: '2.0', method, params}) + '\n';
}

/** A notification that carries a line; see {@link inflateLine}. */
export function deflateLine(line: string): string {
  const deflated: DeflatedLine = {
    line: deflateRawSync(line).toString('base64'),
  };
  return serializeNotification('deflated', deflated);
}

/** The line that was deflated, of at most `maxBytes`. */
export function inflateLine(
  {line}: DeflatedLine,
  maxBytes: number,
): Result<string, 'invalid'> {
  try {
    const limits = {maxOutputLength: maxBytes};
    const inflated = inflateRawSync(Buffer.from(line, 'base64'), limits);
    return ok(inflated.toString('utf8'));
  } catch {
    return err('invalid');
  }
}

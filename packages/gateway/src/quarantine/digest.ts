/** Short digests of what requests consist of. */
import {createHash} from 'node:crypto';

const DIGEST_BYTES = 9;

export function shortDigest(...values: ReadonlyArray<string | Buffer>): string {
  const hash = createHash('sha1');
  for (const value of values) hash.update(value).update('\n');
  return hash.digest().toString('base64url', 0, DIGEST_BYTES);
}

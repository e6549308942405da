/** Hash and HMAC helpers over `node:crypto`, shared by several packages. */
import {createHash, createHmac, timingSafeEqual} from 'node:crypto';

export function sha256Hex(data: string | Uint8Array): string {
  return createHash('sha256').update(data).digest('hex');
}

export function hmacHex(key: string, data: string | Uint8Array): string {
  return createHmac('sha256', key).update(data).digest('hex');
}

/** Compares two secrets in a time that does not depend on where they differ. */
export function secretsEqual(left: string, right: string): boolean {
  const leftHash = createHash('sha256').update(left).digest();
  const rightHash = createHash('sha256').update(right).digest();
  return timingSafeEqual(leftHash, rightHash);
}

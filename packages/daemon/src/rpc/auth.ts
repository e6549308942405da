/**
 * Proves to each other that two daemons share a deployment's key. The answer's
 * code covers the request's, so an old answer cannot stand for a new one.
 */
import {hmacHex, secretsEqual} from '@samphirefield/core';

export const PROTOCOL_VERSION = '1';
export const HEADER_DEPLOYMENT = 'x-samphirefield-deployment';
export const HEADER_PROTOCOL = 'x-samphirefield-protocol';
export const HEADER_CODE = 'x-samphirefield-code';

export function requestMac(
  key: string,
  deployment: string,
  body: string,
): string {
  return hmacHex(key, `request\n${deployment}\n${PROTOCOL_VERSION}\n${body}`);
}

export function responseMac(
  key: string,
  requestCodeHex: string,
  body: string,
): string {
  return hmacHex(key, `answer\n${requestCodeHex}\n${body}`);
}

export type PeerRefusal = 'deployment' | 'protocol' | 'key';

/** Returns why a peer is refused, or undefined when it belongs here. */
export function verifyPeer(
  key: string,
  deployment: string,
  headers: Readonly<Record<string, string | undefined>>,
  body: string,
): PeerRefusal | undefined {
  if (headers[HEADER_DEPLOYMENT] !== deployment) return 'deployment';
  if (headers[HEADER_PROTOCOL] !== PROTOCOL_VERSION) return 'protocol';
  const expected = requestMac(key, deployment, body);
  return secretsEqual(headers[HEADER_CODE] ?? '', expected) ? undefined : 'key';
}

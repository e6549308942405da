/**
 * Authenticates daemons that share a deployment's key. Each request and
 * response carries a message authentication code (MAC). A response's MAC covers
 * that of its request, so an old response can't be replayed for a new request.
 */
import {hmacHex, secretsEqual} from '@samphirefield/core';

export const PROTOCOL_VERSION = '1';
export const HEADER_DEPLOYMENT = 'x-samphirefield-deployment';
export const HEADER_PROTOCOL = 'x-samphirefield-protocol';
export const HEADER_MAC = 'x-samphirefield-code';

export function requestMac(
  key: string,
  deployment: string,
  body: string,
): string {
  return hmacHex(key, `request\n${deployment}\n${PROTOCOL_VERSION}\n${body}`);
}

export function responseMac(
  key: string,
  requestMacHex: string,
  body: string,
): string {
  return hmacHex(key, `answer\n${requestMacHex}\n${body}`);
}

export type PeerRefusal = 'deployment' | 'protocol' | 'key';

/** Returns why a peer is refused, or undefined for one of this deployment. */
export function verifyPeer(
  key: string,
  deployment: string,
  headers: Readonly<Record<string, string | undefined>>,
  body: string,
): PeerRefusal | undefined {
  if (headers[HEADER_DEPLOYMENT] !== deployment) return 'deployment';
  if (headers[HEADER_PROTOCOL] !== PROTOCOL_VERSION) return 'protocol';
  const expected = requestMac(key, deployment, body);
  return secretsEqual(headers[HEADER_MAC] ?? '', expected) ? undefined : 'key';
}

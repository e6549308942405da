/**
 * Tells whether an address refuses connections, as it does while its process is
 * gone. An address that doesn't respond, or accepts, doesn't refuse.
 */
import {probeConnection} from './connect.js';
import type {UpstreamAddress} from './types.js';

export async function refusesConnections(
  address: UpstreamAddress,
  timeoutMs: number,
): Promise<boolean> {
  return (await probeConnection(address, timeoutMs)) === 'refused';
}

/**
 * Tells whether an address refuses connections, as it does while its process is
 * gone. An address that doesn't respond, or accepts, doesn't refuse.
 */
import {connectTo} from './connect.js';
import type {UpstreamAddress} from './types.js';

export function refusesConnections(
  address: UpstreamAddress,
  timeoutMs: number,
): Promise<boolean> {
  return new Promise(resolve => {
    const socket = connectTo(address);
    if (socket === undefined) {
      resolve(false);
      return;
    }
    const finish = (isRefused: boolean) => {
      clearTimeout(timer);
      socket.removeAllListeners();
      socket.on('error', () => undefined);
      socket.destroy();
      resolve(isRefused);
    };
    const timer = setTimeout(() => finish(false), timeoutMs);
    socket.once('connect', () => finish(false));
    socket.once('error', (error: NodeJS.ErrnoException) =>
      finish(error.code === 'ECONNREFUSED' || error.code === 'ECONNRESET'),
    );
  });
}

/** Opens sockets to addresses that targets announced. */
import {connect, type Socket} from 'node:net';
import type {UpstreamAddress} from './types.js';

/** Undefined for an address that cannot be one: `connect` throws at once. */
export function connectTo({host, port}: UpstreamAddress): Socket | undefined {
  try {
    // Whether the end of a connection is a reset shows only while it is writable.
    return connect({host, port, allowHalfOpen: true});
  } catch {
    return undefined;
  }
}

/**
 * Ends a response to a caller so that it cannot look complete. A response
 * without framing is complete when its connection closes, so it is reset.
 */
import type {ServerResponse} from 'node:http';

const unframed = new WeakSet<ServerResponse>();

/** Marks a response whose head states neither a length nor chunks. */
export function markUnframed(res: ServerResponse): void {
  unframed.add(res);
}

export function breakOffResponse(res: ServerResponse): void {
  if (unframed.has(res)) res.socket?.resetAndDestroy();
  res.destroy();
}

/**
 * Ends a response to a caller so that it cannot look complete. A response
 * without framing is complete when its connection closes, so it is reset.
 */
import type {ServerResponse} from 'node:http';

/**
 * Whether nothing but the end of the connection ends the response. A stated
 * length counts too: a reset spoils no response that is incomplete anyway.
 */
function mayEndWithConnection(res: ServerResponse): boolean {
  return res.headersSent && !res.chunkedEncoding;
}

export function breakOffResponse(res: ServerResponse): void {
  if (mayEndWithConnection(res)) res.socket?.resetAndDestroy();
  res.destroy();
}

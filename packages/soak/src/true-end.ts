/**
 * Tells a reset from an end. Node reports a reset that arrives together with
 * unread bytes as an end; only a write fails then.
 */
import type {Socket} from 'node:net';

const NO_BYTES = Buffer.alloc(0);

/**
 * Call in a listener of `end`, before the socket's own. After a reset, the
 * socket emits an error instead.
 */
export function onTrueEnd(socket: Socket, action: () => void): void {
  if (!socket.writable) {
    action();
    return;
  }
  socket.write(NO_BYTES, error => {
    if (!error) action();
  });
}

/**
 * The connections of a server on which nothing is in flight. Node's own list
 * has also those whose response its caller has not read yet; closing them would
 * cut it off.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

export class IdleConnections {
  private readonly openResponses = new Map<Socket, number>();
  /** Bytes that an idle connection had received when it became idle. */
  private readonly receivedBytes = new Map<Socket, number>();

  /** Call with each new connection. */
  watch(socket: Socket): void {
    socket.once('close', () => {
      this.openResponses.delete(socket);
      this.receivedBytes.delete(socket);
    });
  }

  /** Call with each request, before it is handled. */
  noteRequest({socket}: IncomingMessage, res: ServerResponse): void {
    this.receivedBytes.delete(socket);
    this.openResponses.set(socket, this.openCount(socket) + 1);
    res.once('close', () => this.noteEnd(socket));
  }

  /** Closes all of them, except where a next request has begun to arrive. */
  close(): void {
    for (const [socket, bytes] of this.receivedBytes) {
      if (socket.bytesRead === bytes) socket.destroy();
    }
  }

  private noteEnd(socket: Socket): void {
    if (socket.destroyed) return;
    const openCount = this.openCount(socket) - 1;
    this.openResponses.set(socket, openCount);
    if (openCount === 0) this.receivedBytes.set(socket, socket.bytesRead);
  }

  private openCount(socket: Socket): number {
    return this.openResponses.get(socket) ?? 0;
  }
}

/**
 * A fake target: a TCP server whose responses a test writes byte by byte, so
 * that it can misbehave in every way that a target can.
 */
import {createServer, type AddressInfo, type Socket} from 'node:net';

export interface ReceivedRequest {
  readonly head: string;
  readonly body: string;
  readonly socket: Socket;
  /** Position among the requests of this target, from 1. */
  readonly number: number;
}

export interface ScriptedTarget {
  readonly host: string;
  readonly port: number;
  readonly received: ReceivedRequest[];
  close(): void;
}

const HEAD_END = '\r\n\r\n';

function contentLength(head: string): number {
  return Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
}

/**
 * Calls `respond` for each complete request; `respond` writes the response to
 * the request's socket.
 */
export function startScriptedTarget(
  respond: (request: ReceivedRequest) => void,
): Promise<ScriptedTarget> {
  return startScriptedTargetAt(0, respond);
}

/** The same at a given port, at which an earlier target has ended. */
export function startScriptedTargetAt(
  port: number,
  respond: (request: ReceivedRequest) => void,
): Promise<ScriptedTarget> {
  const received: ReceivedRequest[] = [];
  const sockets = new Set<Socket>();
  const server = createServer(socket => {
    let text = '';
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    socket.on('error', () => undefined);
    socket.on('data', data => {
      text += data.toString('latin1');
      for (;;) {
        const headEnd = text.indexOf(HEAD_END);
        if (headEnd < 0) return;
        const head = text.slice(0, headEnd);
        const bodyStart = headEnd + HEAD_END.length;
        const end = bodyStart + contentLength(head);
        if (text.length < end) return;
        const body = text.slice(bodyStart, end);
        text = text.slice(end);
        const number = received.length + 1;
        const request = {head, body, socket, number};
        received.push(request);
        respond(request);
      }
    });
  });
  return new Promise(resolve => {
    server.listen(port, '127.0.0.1', () => {
      const bound = server.address() as AddressInfo;
      resolve({
        host: bound.address,
        port: bound.port,
        received,
        close: () => {
          server.close();
          for (const socket of sockets) socket.destroy();
        },
      });
    });
  });
}

/** A complete response with the signature of the test protocol. */
export function completeResponse(
  body: string,
  extra: readonly string[] = [],
  status = '200 OK',
): string {
  return [
    `HTTP/1.1 ${status}`,
    'Signed: yes',
    ...extra,
    `Content-Length: ${body.length}`,
    '',
    body,
  ].join('\r\n');
}

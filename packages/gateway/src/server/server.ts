/** The HTTP server that callers connect to. */
import {createServer, type Server, type ServerResponse} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {listenWhenFree} from '@samphirefield/core';
import {
  breakOffResponse,
  Exchange,
  type GatewayDependencies,
} from '../exchange/index.js';
import type {CallerLimits} from '../routes/index.js';
import {IdleConnections} from './idle-connections.js';

const MAX_HEADER_BYTES = 65_536;
const DEFAULT_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};
const CONNECTION_CHECK_MS = 1_000;
const LISTEN_BACKLOG = 1_024;

export interface GatewayServer {
  readonly port: number;
  /** Number of requests in flight. */
  activeCount(): number;
  applyLimits(limits: CallerLimits): void;
  /** Closes each connection after the response to its next request. */
  startDraining(): void;
  /** Closes the connections on which nothing is in flight. */
  closeIdle(): void;
  close(): void;
}

export async function startGatewayServer(
  host: string,
  port: number,
  deps: GatewayDependencies,
): Promise<GatewayServer> {
  const active = new Set<ServerResponse>();
  const idle = new IdleConnections();
  let isDraining = false;
  const server: Server = createServer(
    {
      maxHeaderSize: MAX_HEADER_BYTES,
      connectionsCheckingInterval: CONNECTION_CHECK_MS,
      keepAliveTimeout: DEFAULT_LIMITS.idleTimeoutMs,
      headersTimeout: DEFAULT_LIMITS.headerTimeoutMs,
      requestTimeout: 0,
      noDelay: true,
    },
    (req, res) => {
      active.add(res);
      idle.noteRequest(req, res);
      res.on('close', () => active.delete(res));
      if (isDraining) res.setHeader('connection', 'close');
      const exchange = new Exchange(deps, req, res);
      exchange.run().catch((error: unknown) => {
        deps.logger.error('exchange_crashed', {
          reason: (error as Error).stack,
        });
        breakOffResponse(res);
      });
    },
  );
  server.on('connection', (socket: Socket) => idle.watch(socket));
  // Node calls it also when the server stops listening.
  server.closeIdleConnections = () => idle.close();
  deps.guard?.guard(server);
  server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
    const isTooLong = error.code === 'HPE_HEADER_OVERFLOW';
    const status = isTooLong
      ? '431 Request Header Fields Too Large'
      : '400 Bad Request';
    if (socket.writable && error.code !== 'ECONNRESET') {
      socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\n\r\n`);
    } else socket.destroy();
  });
  await listenWhenFree(
    server,
    {host, port, backlog: LISTEN_BACKLOG},
    {
      onWaiting: reason => deps.logger.warn('waits_to_listen', {reason}),
      onError: reason => deps.logger.warn('accept_failed', {reason}),
    },
  );
  return {
    port: (server.address() as AddressInfo).port,
    activeCount: () => active.size,
    applyLimits: limits => {
      server.keepAliveTimeout = limits.idleTimeoutMs;
      server.headersTimeout = limits.headerTimeoutMs;
    },
    startDraining: () => {
      isDraining = true;
    },
    closeIdle: () => idle.close(),
    close: () => {
      // Closing the server also closes connections with unsent bytes.
      for (const res of active) breakOffResponse(res);
      server.close();
      server.closeAllConnections();
    },
  };
}

/** Starts a hono application on one address. */
import type {AddressInfo} from 'node:net';
import type {Server} from 'node:http';
import {serve, type HttpBindings} from '@hono/node-server';
import {Hono} from 'hono';
import type {ConnectionGuard} from '@samphirefield/core';

export type App = Hono<{Bindings: HttpBindings}>;

export function createApp(): App {
  return new Hono<{Bindings: HttpBindings}>();
}

export interface RunningServer {
  readonly address: string;
  readonly port: number;
  readonly close: () => Promise<void>;
}

const MAX_HEADER_BYTES = 16_384;
const HEADERS_TIMEOUT_MS = 10_000;

export function startServer(
  app: App,
  address: string,
  port: number,
  guard?: ConnectionGuard,
): Promise<RunningServer> {
  return new Promise((resolve, reject) => {
    const server = serve(
      {
        fetch: app.fetch,
        hostname: address,
        port,
        serverOptions: {
          maxHeaderSize: MAX_HEADER_BYTES,
          headersTimeout: HEADERS_TIMEOUT_MS,
          // Streams may run for hours; their progress is checked elsewhere.
          requestTimeout: 0,
        },
      },
      info => {
        const {address: boundAddress, port: boundPort} = info as AddressInfo;
        const close = () => closeServer(server as Server);
        resolve({address: boundAddress, port: boundPort, close});
      },
    );
    guard?.guard(server as Server);
    server.once('error', reject);
  });
}

function closeServer(server: Server): Promise<void> {
  return new Promise(resolve => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}

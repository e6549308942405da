/**
 * The HTTP server for requests that other entries relay. It serves those that
 * carry this process's token; it tells the others at once that they did not run.
 */
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {listenWhenFree} from '@samphirefield/core';
import {
  breakOffResponse,
  Exchange,
  markOlderState,
  markRefused,
  markRelayed,
  relayIdOf,
  takeRelayHeaders,
  type GatewayDependencies,
  type RelayEndpoint,
  type RelayedOrigin,
} from '../exchange/index.js';

/** What callers may send, and the headers of the hop. */
const MAX_HEADER_BYTES = 69_632;
const HEADERS_TIMEOUT_MS = 3_000;
/** An entry sends what it has read, so only links and memory delay it. */
const REQUEST_TIMEOUT_MS = 10_000;
const LISTEN_BACKLOG = 1_024;
const UNAVAILABLE_STATUS = 503;

export interface RelayListener {
  /** Resolves with the port once it listens. */
  readonly port: Promise<number>;
  /** Number of relayed requests in flight. */
  activeCount(): number;
  close(): void;
}

export function startRelayListener(
  {host, port, token}: RelayEndpoint,
  deps: GatewayDependencies,
): RelayListener {
  const active = new Set<ServerResponse>();
  const server = createServer(
    {
      maxHeaderSize: MAX_HEADER_BYTES,
      headersTimeout: HEADERS_TIMEOUT_MS,
      requestTimeout: REQUEST_TIMEOUT_MS,
      noDelay: true,
    },
    (req, res) => {
      active.add(res);
      res.on('close', () => active.delete(res));
      serveRelayed(deps, token, req, res);
    },
  );
  deps.guard?.guard(server);
  const listening = listenWhenFree(
    server,
    {host, port, backlog: LISTEN_BACKLOG},
    {
      onWaiting: reason => deps.logger.warn('waits_to_listen', {reason}),
      onError: reason => deps.logger.warn('accept_failed', {reason}),
    },
  );
  return {
    port: listening.then(() => (server.address() as AddressInfo).port),
    activeCount: () => active.size,
    close: () => {
      server.close();
      for (const res of active) breakOffResponse(res);
      server.closeAllConnections();
    },
  };
}

function serveRelayed(
  deps: GatewayDependencies,
  token: string,
  req: IncomingMessage,
  res: ServerResponse,
): void {
  const relayId = relayIdOf(req);
  const origin = takeRelayHeaders(req, token);
  const refusal = origin ? findRefusal(deps, origin) : 'unknown_token';
  deps.logger.info('relayed_for', {
    request: deps.protocol.readRequest(req.headers).attemptId,
    relay: relayId,
    entry: origin?.entry,
    refusal,
  });
  deps.observeRelay?.(refusal ? 'declined' : 'accepted');
  if (refusal === 'older_state') markOlderState(res, relayId);
  if (origin === undefined || refusal) {
    refuse(req, res, relayId);
    return;
  }
  // Tells the other entry that this process runs, however slow the target is.
  res.writeProcessing();
  markRelayed(res, origin);
  const exchange = new Exchange(deps, req, res, origin);
  exchange.run().catch((error: unknown) => {
    deps.logger.error('exchange_crashed', {reason: (error as Error).stack});
    breakOffResponse(res);
  });
}

/** Why this process cannot take the request; undefined if it can. */
function findRefusal(
  {plannedStop, activeConfig}: GatewayDependencies,
  {stateIndex}: RelayedOrigin,
): string | undefined {
  if (plannedStop()) return 'stopping';
  const index = activeConfig()?.view.index;
  return index !== undefined && index >= stateIndex ? undefined : 'older_state';
}

/** Reads the whole request first: otherwise the close could lose the response. */
function refuse(
  req: IncomingMessage,
  res: ServerResponse,
  relayId: string,
): void {
  markRefused(res, relayId);
  req.resume();
  req.on('end', () => {
    res.writeHead(UNAVAILABLE_STATUS, {'content-length': 0});
    res.end();
  });
}

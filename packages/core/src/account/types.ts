/** What a process holds for clients, and the limits of their sum. */

/**
 * `connections`: sockets and their objects; `heads`: heads of requests;
 * `pipelined`: bytes received ahead of the request that is handled; `unread`:
 * bytes that the system holds for a connection that is not read; `bodies`:
 * bodies of requests; `responses`: what callers have not read yet; `links` and
 * `tables`: links between daemons, and the configuration with its indexes;
 * `spare`: blocks kept for the next bodies.
 */
export const RESOURCE_KINDS = [
  'connections',
  'heads',
  'pipelined',
  'unread',
  'bodies',
  'responses',
  'links',
  'tables',
  'spare',
] as const;
export type ResourceKind = (typeof RESOURCE_KINDS)[number];

/** Held for a connection: objects of Node and of the system. */
export const CONNECTION_BYTES = 16_384;
/** Received bytes that the system holds for a socket that is not read. */
export const SYSTEM_UNREAD_BYTES = 65_536;

export interface AccountLimits {
  readonly maxBytes: number;
  readonly maxConnections: number;
}

export type LimitedResource = 'memory' | 'connections';

export interface AccountEvents {
  /** Called when a resource becomes short, and when it no longer is. */
  readonly onPressure: (resource: LimitedResource, isShort: boolean) => void;
}

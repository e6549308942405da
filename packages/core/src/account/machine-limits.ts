/** Derives the limits of an account from those of the machine. */
import {CONNECTION_BYTES, type AccountLimits} from './types.js';

const MB = 1_048_576;
/**
 * Measured for an idle process: 72 MB (entry), 71 to 82 MB (control daemon).
 */
const IDLE_BYTES = 76 * MB;
/**
 * Garbage that is not collected yet: V8's young generation grows by 24 MB under
 * load, and buffers of received data are collected after each 8 MB.
 */
const UNCOLLECTED_BYTES = 32 * MB;
/** Two bodies of the usual limit with their copies, and some connections. */
const MIN_BYTES = 24 * MB;
/** Descriptors that the platform reserves for files. */
const FILE_DESCRIPTORS = 200;
/** Descriptors for links between daemons, listeners, the log and the disk. */
const OWN_DESCRIPTORS = 100;
const MIN_CONNECTIONS = 32;
/** Share of the memory that idle connections may hold. */
const CONNECTIONS_SHARE = 1 / 2;

export interface MachineLimits {
  readonly memoryBytes: number;
  readonly maxDescriptors: number;
}

export function accountLimitsOf({
  memoryBytes,
  maxDescriptors,
}: MachineLimits): AccountLimits {
  const forClients = maxDescriptors - FILE_DESCRIPTORS - OWN_DESCRIPTORS;
  const freeBytes = memoryBytes - IDLE_BYTES - UNCOLLECTED_BYTES;
  const maxBytes = Math.max(MIN_BYTES, freeBytes);
  // Each connection of a caller may need another to a target.
  const byDescriptors = Math.max(MIN_CONNECTIONS, Math.floor(forClients / 2));
  const idleBytes = maxBytes * CONNECTIONS_SHARE;
  const byMemory = Math.floor(idleBytes / CONNECTION_BYTES);
  return {maxBytes, maxConnections: Math.min(byDescriptors, byMemory)};
}

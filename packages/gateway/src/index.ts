/**
 * An HTTP gateway: finds the route and the workspace of a request, reserves
 * capacity on a target, and forwards the response exactly once.
 */
export * from './budget/index.js';
export * from './dispatch/index.js';
export * from './exchange/index.js';
export * from './metrics/index.js';
export * from './moves/index.js';
export * from './quarantine/index.js';
export * from './registry/index.js';
export * from './routes/index.js';
export * from './server/index.js';
export * from './upstream/index.js';

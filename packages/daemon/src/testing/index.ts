/** Helpers for tests; not part of the daemon. */
export * from './caller.js';
export * from './deployment.js';

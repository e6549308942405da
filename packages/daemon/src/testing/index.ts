/** Helpers of the tests; no part of the daemon. */
export * from './caller.js';
export * from './deployment.js';

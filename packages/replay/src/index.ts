/** Replays traces against the decision logic of the daemon, in virtual time. */
export * from './simulate/index.js';
export * from './trace/index.js';

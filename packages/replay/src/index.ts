/** Replays traces through the daemon's decision logic in virtual time. */
export * from './reservations/index.js';
export * from './simulate/index.js';
export * from './trace/index.js';

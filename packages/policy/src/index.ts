/**
 * The decisions of the system as functions of their arguments, which include
 * their state and the current time. No I/O, no clock, no timers.
 */
export * from './allocations/index.js';
export * from './cache-hints/index.js';
export * from './fair-queue/index.js';
export * from './output-lengths/index.js';
export * from './model-placement/index.js';
export * from './quarantine/index.js';
export * from './reachability/index.js';
export * from './relay-peers/index.js';
export * from './retries/index.js';
export * from './rollouts/index.js';
export * from './routing/index.js';
export * from './sequence/index.js';
export * from './statements/index.js';
export * from './target-load/index.js';

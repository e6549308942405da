/**
 * The decisions of the system as pure functions: inputs and the time in,
 * decisions out. No input or output, no clock, no timers.
 */
export * from './allotments/index.js';
export * from './cache-hints/index.js';
export * from './fair-queue/index.js';
export * from './lengths/index.js';
export * from './placement/index.js';
export * from './quarantine/index.js';
export * from './retries/index.js';
export * from './routing/index.js';
export * from './sequence/index.js';

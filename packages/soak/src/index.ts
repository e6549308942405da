/**
 * A seeded soak of real processes under overlapping faults. Its callers, targets
 * and operator run in the process of the soak and are the only judges.
 */
export * from './checks.js';
export * from './soak.js';
export * from './types.js';

/**
 * Coordination of the daemons: the links between them, the control group with
 * its configuration and target registry, and the entries that subscribe to it.
 */
export * from './capacities.js';
export * from './control/index.js';
export * from './entry/index.js';
export * from './link/index.js';

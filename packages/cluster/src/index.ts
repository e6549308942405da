/**
 * How the daemons act together: the links between them, the control group
 * with its configuration and registry, and the entries that follow it.
 */
export * from './capacities.js';
export * from './control/index.js';
export * from './entry/index.js';
export * from './link/index.js';

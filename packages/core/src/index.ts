/**
 * The foundation of the other packages: ids, settings, rules, logging, bytes, how
 * servers begin to listen, and what they hold for clients. It imports no feature
 * package; its only other I/O is reading settings and the limits of the machine.
 */
export * from './account/index.js';
export * from './bytes/index.js';
export * from './crypto/index.js';
export * from './ids/index.js';
export * from './listening/index.js';
export * from './logging/index.js';
export * from './rules/index.js';
export * from './serving/index.js';
export * from './settings/index.js';
export * from './targets/index.js';

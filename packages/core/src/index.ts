/**
 * The foundation of the other packages: ids, settings, rules and logging.
 * It imports no feature package, and its only I/O is reading settings.
 */
export * from './crypto/index.js';
export * from './ids/index.js';
export * from './logging/index.js';
export * from './rules/index.js';
export * from './settings/index.js';
export * from './targets/index.js';

/**
 * The core that the other packages plug into: ids, settings, rules and logs.
 * It imports no feature and does no input or output but reading settings.
 */
export * from './crypto/index.js';
export * from './ids/index.js';
export * from './logging/index.js';
export * from './rules/index.js';
export * from './settings/index.js';
export * from './targets/index.js';

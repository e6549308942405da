export * from './local-quarantine.js';
export * from './digest.js';
export type * from './types.js';

export * from './local-quarantine.js';
export * from './traits.js';
export type * from './types.js';

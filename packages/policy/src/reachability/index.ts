export * from './logic.js';
export type * from './types.js';

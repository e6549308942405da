export * from './logic.js';
export * from './rate.js';
export type * from './types.js';

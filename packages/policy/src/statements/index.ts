export * from './brittleness.js';
export * from './logic.js';
export * from './pauses.js';
export * from './rate.js';
export type * from './types.js';

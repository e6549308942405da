export * from './logic.js';
export * from './types.js';

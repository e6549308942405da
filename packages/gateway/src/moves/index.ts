export * from './move.js';
export * from './types.js';

export * from './logic.js';
export * from './validate.js';
export * from './types.js';

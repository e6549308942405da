export * from './lookup.js';
export * from './types.js';
export * from './validate.js';

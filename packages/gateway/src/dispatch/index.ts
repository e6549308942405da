export * from './demands.js';
export * from './dispatcher.js';
export * from './types.js';

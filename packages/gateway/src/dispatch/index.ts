export * from './dispatcher.js';
export * from './types.js';

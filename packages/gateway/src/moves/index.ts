export * from './move.js';
export * from './types.js';
export * from './permits.js';
export * from './recover.js';
export * from './stop-order.js';

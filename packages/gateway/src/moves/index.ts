export * from './move.js';
export * from './types.js';
export * from './turns.js';
export * from './recover.js';

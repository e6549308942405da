export * from './body.js';
export * from './exchange.js';
export * from './own-answer.js';
export * from './request-text.js';
export * from './types.js';

export * from './demands.js';
export * from './dispatcher.js';
export * from './limiter.js';
export * from './speeds.js';
export type {Run} from './runs.js';
export * from './types.js';
export * from './version-gate.js';

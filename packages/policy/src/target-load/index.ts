export * from './logic.js';
export * from './report.js';
export * from './samples.js';
export * from './statement.js';
export * from './summary.js';
export type * from './types.js';

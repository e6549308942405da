export * from './play.js';
export * from './scenario.js';

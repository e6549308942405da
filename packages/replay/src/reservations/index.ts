/** Heavy loads on the gateway's dispatcher in virtual time. */
export * from './figures.js';
export * from './plain-play.js';
export * from './play.js';
export * from './scenario.js';
export * from './types.js';

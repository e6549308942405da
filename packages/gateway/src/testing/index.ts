export * from './gateway.js';
export * from './scripted-target.js';
export * from './streams.js';

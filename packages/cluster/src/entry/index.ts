export * from './entry-node.js';

export * from './server.js';

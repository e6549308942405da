export * from './relay-listener.js';
export * from './server.js';

export * from './ports.js';

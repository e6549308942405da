export * from './links.js';
export * from './peer.js';

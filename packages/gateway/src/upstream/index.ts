export {probeConnection, type ConnectOutcome} from './connect.js';
export * from './connection.js';
export * from './parser.js';
export * from './pool.js';
export * from './refusal.js';
export * from './types.js';

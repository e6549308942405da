/**
 * What the voters of a deployment agree on, and the messages about it between
 * daemons, targets and operators' tools.
 */
export * from './config/index.js';
export * from './ledger/index.js';
export * from './state-machine/index.js';
export * from './membership/index.js';
export * from './operators/index.js';

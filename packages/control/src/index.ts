/**
 * The replicated state of a deployment: its configuration, the ledger and the
 * membership of the control group, with the commands that change them and the
 * status that operators read.
 */
export * from './config/index.js';
export * from './ledger/index.js';
export * from './state-machine/index.js';
export * from './membership/index.js';
export * from './operators/index.js';

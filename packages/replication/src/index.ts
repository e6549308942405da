/**
 * An embeddable replicated log: the consensus core as a step function, its
 * storage, and the node that runs both.
 */
export * from './node/index.js';
export * from './raft/index.js';
export * from './storage/index.js';

export * from './control-node.js';
export * from './group-replica.js';
export * from './state-machine.js';
export * from './messages.js';
export type * from './operator-changes.js';
export * from './rollout-gate.js';
export * from './rollout-messages.js';
export * from './rollout-state.js';
export * from './target-registry.js';

export * from './control-node.js';
export * from './group.js';
export * from './machine.js';
export * from './messages.js';
export * from './registry.js';

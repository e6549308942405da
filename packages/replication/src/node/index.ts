export {
  ReplicaNode,
  type ReplicaNodeOptions,
  type SubmitError,
} from './replica-node.js';
export type {StateMachine} from './state-machine.js';

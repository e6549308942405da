export * from './entry-node.js';
export type {VersionObserver} from './entry-rollouts.js';

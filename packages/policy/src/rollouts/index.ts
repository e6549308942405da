export * from './latency.js';
export * from './exposure.js';
export * from './judge.js';
export {versionId} from './types.js';
export type * from './types.js';

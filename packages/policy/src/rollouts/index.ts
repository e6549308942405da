/** The decisions of a rollout: who gets what, and how it ends. */
export {LATENCY_BUCKETS, latencyBucket} from './latency.js';
export {divideAllowance, rolloutLeaseMs} from './exposure.js';
export {createRolloutJudge, decide, recordEvidence} from './judge.js';
export type {RolloutJudge} from './judge.js';
export {describeReason} from './reason.js';
export {versionId} from './types.js';
export type * from './types.js';

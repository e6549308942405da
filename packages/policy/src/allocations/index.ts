export {
  capacityOf,
  ALLOCATABLE_KV_SHARE,
  WARM_RAMP_MS,
  type Capacity,
} from './capacity.js';
export {divideUnits, type WeightedShare} from './divide.js';
export {recordAnnouncement, toTargetView} from './announcements.js';
export {createLeaderTables, handleReport, leaderTick} from './leader.js';
export {planShares, type Claimant} from './plan-shares.js';
export * from './types.js';

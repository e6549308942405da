export {
  bearingOf,
  KV_SHARE_GIVEN,
  WARM_RAMP_MS,
  type Bearing,
} from './bearing.js';
export {divideUnits, type Share} from './divide.js';
export {recordAnnouncement, toTargetView} from './announcements.js';
export {createLeaderTables, handleReport, leaderTick} from './leader.js';
export {planShares, type Claimant} from './plan-shares.js';
export * from './types.js';

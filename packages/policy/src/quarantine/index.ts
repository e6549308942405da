export * from './admission.js';
export * from './health.js';
export * from './incidents.js';
export {
  createQuarantine,
  expireSuspects,
  findStale,
  inheritQuarantine,
  ISOLATED_SUSPECT_THRESHOLDS,
  partSuspects,
  recordCrashes,
  recordSuccess,
  removeSuspects,
  requestSuspect,
  retractCrash,
  SHARED_TARGET_THRESHOLDS,
  suspicionOf,
  viewOf,
  type StaleSuspects,
} from './logic.js';
export * from './snapshot.js';
export * from './solo.js';
export * from './traits.js';
export * from './trials.js';
export * from './unanswered.js';
export type * from './types.js';

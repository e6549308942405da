export {
  createCacheTable,
  forgetTarget,
  recordCacheEvents,
  targetsWithPrefix,
} from './logic.js';
export type {CacheRow, CacheTable} from './types.js';

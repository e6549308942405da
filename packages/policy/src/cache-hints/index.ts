export {forgetTarget, holdsPrefix, recordCacheEvents} from './logic.js';
export type {CacheRow, CacheTable} from './types.js';

export {Holder} from './holder.js';
export {accountLimitsOf, type MachineLimits} from './machine-limits.js';
export {
  MAX_WAIT_MS,
  ResourceAccount,
  SMALL_HOLDER_BYTES,
  STALLED_AFTER_MS,
} from './resource-account.js';
export {
  CONNECTION_BYTES,
  RESOURCE_KINDS,
  SYSTEM_UNREAD_BYTES,
  type AccountEvents,
  type AccountLimits,
  type LimitedResource,
  type ResourceKind,
} from './types.js';

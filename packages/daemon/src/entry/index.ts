export {ControlClient, type ControlError} from './control-client.js';
export {HeartbeatLoop} from './heartbeat.js';
export {noteDeath, noteSuccess, suspicionHere} from './suspects.js';
export {
  createEntryTables,
  hasViewLease,
  type EntryTables,
  type EntryTarget,
  type StreamRow,
} from './tables.js';
export {
  histogramFor,
  kvEstimate,
  refreshEstimates,
  usageByTarget,
  usageOf,
} from './usage.js';

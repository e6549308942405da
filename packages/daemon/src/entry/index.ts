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
export {candidatesFor} from './candidates.js';
export {
  addStream,
  histogramFor,
  kvEstimate,
  refreshEstimates,
  removeStream,
  usageOf,
} from './usage.js';

export {ControlClient, type ControlError} from './control-client.js';
export {HeartbeatLoop} from './heartbeat-loop.js';
export {
  recordTargetCrash,
  recordRunSuccess,
  requestSuspicion,
  effectiveSuspicion,
} from './suspects.js';
export {
  createEntryTables,
  hasViewLease,
  type EntryTables,
  type EntryTarget,
  type ActiveRun,
} from './tables.js';
export {avoidTarget, candidatesFor, syncCandidate} from './candidates.js';
export {hearTarget, recordSending, type HeardHead} from './statements.js';
export {
  addRun,
  histogramFor,
  estimateKvTokens,
  refreshKvEstimates,
  removeRun,
  usageOf,
} from './usage.js';

/** The daemon as a library, for tests and for embedding. */
export {systemClock, type Clock} from './clock/index.js';
export {startDaemon, type RunningDaemon} from './daemon.js';
export type {ClusterStatus} from '@samphirefield/control';
export {RpcClient, type PeerAddress} from './rpc/index.js';
export {
  createEntryTables,
  histogramFor,
  type EntryTables,
} from './entry/index.js';
export {applyResponse, buildHeartbeat} from './entry/heartbeat-messages.js';
export {
  Scheduler,
  type Admission,
  type AdmissionRequest,
} from './scheduler/index.js';

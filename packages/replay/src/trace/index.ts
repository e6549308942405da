export {formatTrace, parseTrace, type TraceError} from './file.js';
export {
  generateTrace,
  makeTargets,
  DEPLOYMENT_MIXES,
  type DeploymentName,
  type TraceOptions,
} from './generate.js';
export type {
  Arrival,
  Trace,
  TraceEvent,
  TraceHead,
  TraceLine,
  TraceTarget,
} from './types.js';

export {applyRulesFile, checkRulesFile} from './apply.js';
export {
  createContext,
  type CommandContext,
  type GlobalOptions,
} from './context.js';
export {changeServiceState} from './service-state.js';
export {bootstrapVoters, showStatus, showVoters} from './status.js';
export {
  makeTrace,
  replayTrace,
  type ReplayOptions,
  type TraceOptions,
} from './replay.js';

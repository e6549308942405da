export {
  applyControlCommand,
  ControlStateMachine,
  createControlTables,
  deltasSince,
  MAX_KEPT_RESULTS,
  MAX_RECENT_DELTAS,
  toConfigEdit,
} from './control-state-machine.js';
export type {ControlResult, ControlCommand, ControlTables} from './types.js';

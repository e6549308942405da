export {
  applyCommand,
  ControlMachine,
  createTables,
  deltasSince,
  MAX_KEPT_ANSWERS,
  MAX_RECENT_DELTAS,
  toEdit,
} from './control-machine.js';
export type {ControlAnswer, ControlCommand, ControlTables} from './types.js';

export {
  applyDeltas,
  applyEdit,
  describeEdit,
  diffRules,
  EMPTY_CONFIG,
  hashConfig,
  isNoChange,
} from './logic.js';
export type {
  ConfigDelta,
  ConfigEdit,
  ConfigView,
  RulesSplice,
} from './types.js';

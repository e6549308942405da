export {
  applyDeltas,
  applyEdit,
  describeEdit,
  diffRules,
  EMPTY_CONFIG,
  hashConfig,
  isNoChange,
} from './edits.js';
export type {
  ConfigDelta,
  ConfigEdit,
  ConfigView,
  RulesSplice,
} from './types.js';

export {renderRulesPage} from './docs.js';
export {formatRuleError, MAX_RULES_BYTES, parseRules} from './parse.js';
export {
  DEFAULT_PRIORITY,
  EMPTY_RULE_SET,
  isNonRepeatable,
  pathBelongsTo,
  plainServiceFor,
  priorityOf,
} from './ruleset.js';
export type {
  AffinityRule,
  LimitRule,
  ModelRule,
  OnceRule,
  PriorityRule,
  Rule,
  RuleError,
  RuleSet,
  ServiceKind,
  ServiceRule,
  TargetRule,
  VotersRule,
  WorkspaceRule,
  ZoneRule,
} from './types.js';

export type {
  ChangeSummary,
  OperatorResult,
  OperatorChange,
  OperatorCommand,
} from './types.js';
export type {
  ClusterStatus,
  EntryStatus,
  MemberStatus,
  TargetStatus,
} from './status.js';

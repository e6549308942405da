export type {
  ChangeSummary,
  OperatorAnswer,
  OperatorChange,
  OperatorCommand,
} from './types.js';
export type {
  ClusterStatus,
  EntryStatus,
  MemberStatus,
  TargetStatus,
} from './status.js';

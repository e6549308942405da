export type {
  ChangeSummary,
  OperatorAnswer,
  OperatorChange,
  OperatorCommand,
} from './types.js';

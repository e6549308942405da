/** The tables that the voters replicate. */
import type {CommandId} from '@samphirefield/core';
import type {ConfigDelta, ConfigView} from '../config/index.js';
import type {
  LedgerResult,
  LedgerCommand,
  LedgerTable,
} from '../ledger/index.js';
import type {OperatorResult, OperatorCommand} from '../operators/index.js';

export interface ControlTables {
  config: ConfigView;
  configHash: string;
  /** The latest accepted changes, oldest first. */
  recentDeltas: ConfigDelta[];
  /**
   * Result of the first run of each operator command, oldest first; resends get
   * it again.
   */
  readonly operatorResults: Map<CommandId, OperatorResult>;
  readonly ledger: LedgerTable;
}

export type ControlCommand = OperatorCommand | LedgerCommand;
export type ControlResult = OperatorResult | LedgerResult;

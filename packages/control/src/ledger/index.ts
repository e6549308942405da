export {applyLedgerCommand, lookUpKey} from './apply-command.js';
export {createLedger, putRecord, type LedgerTable} from './ledger-table.js';
export type {
  AbandonCommand,
  ClaimCommand,
  CompleteCommand,
  ForgetCommand,
  LedgerResult,
  LedgerBounds,
  LedgerCommand,
  LedgerRecord,
  ReleaseCommand,
  StoredResponse,
} from './types.js';

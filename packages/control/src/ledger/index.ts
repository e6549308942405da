export {applyLedgerCommand, lookUp} from './logic.js';
export {createLedger, putRecord, type LedgerTable} from './store.js';
export type {
  AbandonCommand,
  ClaimCommand,
  CompleteCommand,
  ForgetCommand,
  LedgerAnswer,
  LedgerBounds,
  LedgerCommand,
  LedgerRecord,
  ReleaseCommand,
  StoredAnswer,
} from './types.js';

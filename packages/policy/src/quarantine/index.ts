export {
  createQuarantine,
  expireSuspects,
  recordCrash,
  recordSuccess,
  suspicionOf,
} from './logic.js';
export type {CrashId, QuarantineTable, SuspectRow, Suspicion} from './types.js';

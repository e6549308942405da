export {
  createQuarantine,
  expireSuspects,
  recordDeath,
  recordSuccess,
  suspicionOf,
} from './logic.js';
export type {DeathId, QuarantineTable, SuspectRow, Suspicion} from './types.js';

/** This entry's view of suspects: its own observations and the leader's. */
import type {Fingerprint, TargetId} from '@samphirefield/core';
import {
  recordCrash,
  recordSuccess,
  suspicionOf,
  type Suspicion,
} from '@samphirefield/policy';
import type {EntryTables} from './tables.js';

export function effectiveSuspicion(
  tables: EntryTables,
  fingerprint: Fingerprint,
): Suspicion {
  const own = suspicionOf(tables.quarantine, fingerprint);
  const shared = tables.sharedSuspects.get(fingerprint);
  if (own === 'quarantined' || shared?.isQuarantined) return 'quarantined';
  return own === 'suspect' || shared ? 'suspect' : 'clear';
}

/** Everything that this entry ran on a target when it died is a suspect. */
export function recordTargetCrash(
  tables: EntryTables,
  target: TargetId,
  incarnation: string,
  nowMs: number,
): readonly Fingerprint[] {
  const fingerprints = [...tables.activeRuns.values()]
    .filter(run => run.target === target && run.incarnation === incarnation)
    .map(run => run.fingerprint);
  const death = `${target}/${incarnation}`;
  const before = tables.quarantine.version;
  recordCrash(tables.quarantine, death, fingerprints, nowMs);
  if (tables.quarantine.version !== before) {
    tables.unreportedCrashes.push({death, fingerprints});
  }
  return fingerprints;
}

/** A suspect that ran to its end is cleared, here and everywhere. */
export function recordRunSuccess(
  tables: EntryTables,
  fingerprint: Fingerprint,
): void {
  const wasOwn = recordSuccess(tables.quarantine, fingerprint);
  const wasShared = tables.sharedSuspects.has(fingerprint);
  if (wasOwn || wasShared) tables.unreportedClearedSuspects.push(fingerprint);
}

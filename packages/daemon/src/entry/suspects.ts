/** This entry's view of suspects: its own observations and the leader's. */
import type {Fingerprint, TargetId} from '@samphirefield/core';
import {
  recordCrash,
  recordSuccess,
  suspicionOf,
  type Suspicion,
} from '@samphirefield/policy';
import type {EntryTables} from './tables.js';

export function suspicionHere(
  tables: EntryTables,
  fingerprint: Fingerprint,
): Suspicion {
  const own = suspicionOf(tables.quarantine, fingerprint);
  const shared = tables.sharedSuspects.get(fingerprint);
  if (own === 'quarantined' || shared?.isQuarantined) return 'quarantined';
  return own === 'suspect' || shared ? 'suspect' : 'clear';
}

/** Everything that this entry ran on a target when it died is a suspect. */
export function noteDeath(
  tables: EntryTables,
  target: TargetId,
  incarnation: string,
  nowMs: number,
): readonly Fingerprint[] {
  const fingerprints = [...tables.streams.values()]
    .filter(
      stream => stream.target === target && stream.incarnation === incarnation,
    )
    .map(stream => stream.fingerprint);
  const death = `${target}/${incarnation}`;
  const before = tables.quarantine.version;
  recordCrash(tables.quarantine, death, fingerprints, nowMs);
  if (tables.quarantine.version !== before) {
    tables.unreportedDeaths.push({death, fingerprints});
  }
  return fingerprints;
}

/** A suspect that ran to its end is cleared, here and everywhere. */
export function noteSuccess(
  tables: EntryTables,
  fingerprint: Fingerprint,
): void {
  const wasOwn = recordSuccess(tables.quarantine, fingerprint);
  const wasShared = tables.sharedSuspects.has(fingerprint);
  if (wasOwn || wasShared) tables.unreportedCleared.push(fingerprint);
}

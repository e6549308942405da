/**
 * Suspects: requests that ran on a target when it crashed. Combines this
 * entry's own observations with the leader's.
 */
import type {Fingerprint, TargetId} from '@samphirefield/core';
import {
  partSuspects,
  recordCrashes,
  recordSuccess,
  requestSuspect,
  suspicionOf,
  type Suspicion,
} from '@samphirefield/policy';
import type {EntryTables} from './tables.js';

/** Returns the stricter of this entry's and the leader's suspicion. */
export function effectiveSuspicion(
  tables: EntryTables,
  fingerprint: Fingerprint,
): Suspicion {
  const own = suspicionOf(tables.quarantine, fingerprint);
  const shared = tables.sharedSuspects.get(fingerprint);
  if (own === 'quarantined' || shared?.isQuarantined) return 'quarantined';
  return own === 'suspect' || shared ? 'suspect' : 'clear';
}

/** The same for a request; a part of its prompt may be quarantined. */
export function requestSuspicion(
  tables: EntryTables,
  request: {
    readonly fingerprint: Fingerprint;
    readonly promptParts: readonly Fingerprint[];
  },
): Suspicion {
  const hasQuarantinedPart = request.promptParts.some(
    part => effectiveSuspicion(tables, part) === 'quarantined',
  );
  return hasQuarantinedPart
    ? 'quarantined'
    : effectiveSuspicion(tables, request.fingerprint);
}

/** Makes every request that this entry ran on a crashed target a suspect. */
export function recordTargetCrash(
  tables: EntryTables,
  target: TargetId,
  incarnation: string,
  nowMs: number,
): readonly Fingerprint[] {
  const runs = [...tables.activeRuns.values()].filter(
    run => run.target === target && run.incarnation === incarnation,
  );
  const fingerprints = runs.map(run => run.fingerprint);
  const prompts = runs
    .filter(run => run.generatedTokens === 0)
    .map(run => run.promptParts);
  const crashId = `${target}/${incarnation}`;
  const previousVersion = tables.quarantine.version;
  const suspects = [
    ...fingerprints.map(requestSuspect),
    ...prompts.flatMap(partSuspects),
  ];
  const evidence = {
    crash: crashId,
    suspects,
    failedTrials: [],
    wasAlone: false,
    isCertain: true,
  };
  recordCrashes(tables.quarantine, [evidence], nowMs);
  if (tables.quarantine.version !== previousVersion) {
    tables.unreportedCrashes.push({death: crashId, fingerprints, prompts});
  }
  return fingerprints;
}

/** Clears suspects that ran to completion, on this entry and on all others. */
export function recordRunSuccess(
  tables: EntryTables,
  fingerprints: readonly Fingerprint[],
): void {
  for (const fingerprint of fingerprints) {
    const wasOwn = recordSuccess(tables.quarantine, fingerprint);
    const wasShared = tables.sharedSuspects.has(fingerprint);
    if (wasOwn || wasShared) tables.unreportedClearedSuspects.push(fingerprint);
  }
}

/**
 * Finds the suspects that explain the crashes. A crash is explained once one of
 * its suspects is quarantined; only unexplained crashes can prove another cause.
 * Among suspects that explain nearly as much, the one that fewest requests share
 * is taken: a request before a part, a part that was not healthy lately before
 * one that was, a late part of a prompt before an early one.
 */
import type {Fingerprint} from '@samphirefield/core';
import type {CrashRow, QuarantineTable, Suspect} from './types.js';

interface Evidence {
  readonly suspect: Suspect;
  /** Incidents that count for this suspect. */
  readonly incidents: Set<number>;
  /** Incidents among them that no quarantined suspect explains. */
  readonly unexplained: Set<number>;
}

/** Whether a quarantined suspect of this kind was involved in the crash. */
function isExplainedBy(
  table: QuarantineTable,
  row: CrashRow,
  kind: Suspect['kind'],
): boolean {
  return [...row.suspects.keys()].some(
    fingerprint => table.quarantined.get(fingerprint)?.kind === kind,
  );
}

/**
 * A crash that a quarantined request explains still counts for its parts: one of
 * them may be why the request crashes targets.
 */
function collectEvidence(table: QuarantineTable): Evidence[] {
  const byFingerprint = new Map<Fingerprint, Evidence>();
  for (const row of table.crashes.values()) {
    if (isExplainedBy(table, row, 'part')) continue;
    const isUnexplained = !isExplainedBy(table, row, 'request');
    for (const suspect of row.suspects.values()) {
      if (!isUnexplained && suspect.kind === 'request') continue;
      const evidence = byFingerprint.get(suspect.fingerprint) ?? {
        suspect,
        incidents: new Set(),
        unexplained: new Set(),
      };
      byFingerprint.set(suspect.fingerprint, {
        ...evidence,
        suspect: mergeSuspects(evidence.suspect, suspect),
      });
      evidence.incidents.add(row.incident);
      if (isUnexplained) evidence.unexplained.add(row.incident);
    }
  }
  return [...byFingerprint.values()];
}

/** Combines what is known of a suspect from two runs. */
export function mergeSuspects(a: Suspect, b: Suspect): Suspect {
  return {...a, wasHealthy: a.wasHealthy || b.wasHealthy};
}

function requiredIncidents(table: QuarantineTable, suspect: Suspect): number {
  const {thresholds} = table;
  return suspect.wasHealthy ? thresholds.healthy : thresholds[suspect.kind];
}

/** Negative if `a` is shared by fewer requests, as far as can be told. */
function compareSpecificity(a: Suspect, b: Suspect): number {
  if (a.kind !== b.kind) return a.kind === 'request' ? -1 : 1;
  if (a.wasHealthy !== b.wasHealthy) return a.wasHealthy ? 1 : -1;
  return b.position - a.position;
}

/** Returns the suspects to quarantine next; none if no cause is proven. */
export function findCauses(table: QuarantineTable): readonly Suspect[] {
  const proven = collectEvidence(table).filter(
    ({suspect, incidents, unexplained}) =>
      unexplained.size > 0 &&
      incidents.size >= requiredIncidents(table, suspect),
  );
  const most = Math.max(0, ...proven.map(({incidents}) => incidents.size));
  // A shared part may have been involved in one more crash by chance.
  const isClose = ({suspect, incidents}: Evidence) =>
    incidents.size >= (suspect.kind === 'part' ? most - 1 : most);
  const ranked = proven
    .filter(isClose)
    .sort((a, b) => compareSpecificity(a.suspect, b.suspect));
  const [best] = ranked;
  if (best === undefined) return [];
  const equals = ranked.filter(
    ({suspect, incidents}) =>
      compareSpecificity(suspect, best.suspect) === 0 &&
      incidents.size === best.incidents.size,
  );
  const isAmbiguous =
    equals.length > 1 &&
    best.incidents.size <= requiredIncidents(table, best.suspect);
  return isAmbiguous ? [] : equals.map(({suspect}) => suspect);
}

/**
 * Finds the suspects that explain the crashes. A crash is explained once one of
 * its suspects is quarantined; only unexplained crashes can prove another cause.
 * Crashes of one incident are no proof by themselves: a rack that fails takes
 * several targets with the copies of a request that they run.
 * Among suspects that explain nearly as much, the one that fewest requests share
 * is taken: an exact request before one with any query and service, and that
 * before a part; what was not healthy lately before what was; a late part of a
 * prompt before an early one.
 */
import type {Fingerprint} from '@samphirefield/core';
import type {
  CrashRow,
  CrashThreshold,
  QuarantineTable,
  Suspect,
} from './types.js';

interface Evidence {
  readonly suspect: Suspect;
  crashes: number;
  /** Incidents that count for this suspect. */
  readonly incidents: Set<number>;
  /** Incidents among them that no quarantined suspect explains. */
  readonly unexplained: Set<number>;
}

/** By how many requests a suspect may be shared; more come later. */
const GENERALITY: Readonly<Record<Suspect['kind'], number>> = {
  request: 0,
  similar: 1,
  part: 2,
};
const NOT_EXPLAINED = -1;

/** Generality of the most general quarantined suspect of the crash. */
function explanationOf(table: QuarantineTable, row: CrashRow): number {
  let generality = NOT_EXPLAINED;
  for (const {fingerprint, kind} of table.quarantined.values()) {
    if (!row.suspects.has(fingerprint)) continue;
    generality = Math.max(generality, GENERALITY[kind]);
  }
  return generality;
}

/**
 * A crash that a quarantined request explains still counts for what is more
 * general, such as its parts: one may be why the request crashes targets.
 */
function collectEvidence(
  table: QuarantineTable,
  candidates: ReadonlySet<Fingerprint>,
): Evidence[] {
  const byFingerprint = new Map<Fingerprint, Evidence>();
  for (const row of table.crashes.values()) {
    const involved = [...candidates].flatMap(
      item => row.suspects.get(item) ?? [],
    );
    if (involved.length === 0) continue;
    const explanation = explanationOf(table, row);
    for (const suspect of involved) {
      if (GENERALITY[suspect.kind] <= explanation) continue;
      const evidence = byFingerprint.get(suspect.fingerprint) ?? {
        suspect,
        crashes: 0,
        incidents: new Set(),
        unexplained: new Set(),
      };
      byFingerprint.set(suspect.fingerprint, {
        ...evidence,
        crashes: evidence.crashes + 1,
        suspect: mergeSuspects(evidence.suspect, suspect),
      });
      evidence.incidents.add(row.incident);
      if (explanation === NOT_EXPLAINED) evidence.unexplained.add(row.incident);
    }
  }
  return [...byFingerprint.values()];
}

/** Combines what is known of a suspect from two runs. */
export function mergeSuspects(a: Suspect, b: Suspect): Suspect {
  return {...a, wasHealthy: a.wasHealthy || b.wasHealthy};
}

function thresholdOf(
  {thresholds}: QuarantineTable,
  {kind, wasHealthy}: Suspect,
): CrashThreshold {
  if (kind === 'part')
    return wasHealthy ? thresholds.healthyPart : thresholds.part;
  return wasHealthy ? thresholds.healthyRequest : thresholds.request;
}

function isProven(
  table: QuarantineTable,
  {suspect, crashes, incidents, unexplained}: Evidence,
): boolean {
  const threshold = thresholdOf(table, suspect);
  return (
    unexplained.size > 0 &&
    crashes >= threshold.crashes &&
    incidents.size >= threshold.incidents
  );
}

/** Negative if `a` is shared by fewer requests, as far as can be told. */
function compareSpecificity(a: Suspect, b: Suspect): number {
  if (a.kind !== b.kind) return GENERALITY[a.kind] - GENERALITY[b.kind];
  if (a.wasHealthy !== b.wasHealthy) return a.wasHealthy ? 1 : -1;
  return b.position - a.position;
}

/**
 * Returns which of the candidates to quarantine next; none if no cause is
 * proven.
 */
export function findCauses(
  table: QuarantineTable,
  candidates: ReadonlySet<Fingerprint>,
): readonly Suspect[] {
  const proven = collectEvidence(table, candidates).filter(item =>
    isProven(table, item),
  );
  const most = Math.max(0, ...proven.map(({crashes}) => crashes));
  // A shared part may have been involved in one more crash by chance.
  const isClose = ({suspect, crashes}: Evidence) =>
    crashes >= (suspect.kind === 'part' ? most - 1 : most);
  const ranked = proven
    .filter(isClose)
    .sort((a, b) => compareSpecificity(a.suspect, b.suspect));
  const [best] = ranked;
  if (best === undefined) return [];
  const equals = ranked.filter(
    ({suspect, crashes}) =>
      compareSpecificity(suspect, best.suspect) === 0 &&
      crashes === best.crashes,
  );
  const isAmbiguous =
    equals.length > 1 &&
    best.crashes <= thresholdOf(table, best.suspect).crashes;
  return isAmbiguous ? [] : equals.map(({suspect}) => suspect);
}

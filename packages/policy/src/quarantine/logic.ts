/**
 * Finds what crashes the targets that run it: single requests, and parts of
 * prompts that many requests share.
 *
 * Every run that a target had not begun to answer when it crashed makes its
 * request and the parts of its prompt suspects. An answer of any target clears
 * the suspects of its request. A suspect that was involved in several crashes
 * without an answer in between is quarantined. Before that, once two crashes
 * have a request in common, its copies run one at a time, so that few targets
 * crash and each crash tells it from others.
 */
import type {Fingerprint} from '@samphirefield/core';
import {findCauses, mergeSuspects} from './causes.js';
import type {
  CrashId,
  CrashEvidence,
  CrashThresholds,
  QuarantineTable,
  QuarantineView,
  Suspect,
  Suspicion,
} from './types.js';

const MAX_SUSPECTS_PER_CRASH = 256;
/** Crashes from which on a suspect request runs alone. */
const WATCHED_CRASHES = 2;
const WATCHED_HEALTHY_CRASHES = 3;
const MAX_CRASHES = 128;
/** Suspects of all crashes together. */
const MAX_SUSPECTS = 8_192;
const MAX_QUARANTINED = 256;

/** For runs that share their targets with other runs. */
export const SHARED_TARGET_THRESHOLDS: CrashThresholds = {
  request: {crashes: 3, incidents: 2},
  part: {crashes: 3, incidents: 3},
  healthyRequest: {crashes: 4, incidents: 3},
  healthyPart: {crashes: 5, incidents: 5},
};

/** For suspect requests that run one at a time. */
export const ISOLATED_SUSPECT_THRESHOLDS: CrashThresholds = {
  ...SHARED_TARGET_THRESHOLDS,
  request: {crashes: 2, incidents: 2},
};

export function createQuarantine(
  thresholds: CrashThresholds = SHARED_TARGET_THRESHOLDS,
): QuarantineTable {
  return {
    thresholds,
    crashes: new Map(),
    quarantined: new Map(),
    nextIncident: 1,
    version: 0,
  };
}

/** A whole request as a suspect. */
export function requestSuspect(fingerprint: Fingerprint): Suspect {
  return {fingerprint, kind: 'request', position: 0, wasHealthy: false};
}

/** The shared parts of a prompt, in order, as suspects. */
export function partSuspects(fingerprints: readonly Fingerprint[]): Suspect[] {
  return fingerprints.map((fingerprint, position) => ({
    fingerprint,
    kind: 'part',
    position,
    wasHealthy: false,
  }));
}

export function suspicionOf(
  table: QuarantineTable,
  fingerprint: Fingerprint,
): Suspicion {
  if (table.quarantined.has(fingerprint)) return 'quarantined';
  const isSuspect = [...table.crashes.values()].some(row =>
    row.suspects.has(fingerprint),
  );
  return isSuspect ? 'suspect' : 'clear';
}

/**
 * Records crashes of one incident; by default a new one. A crash may be reported
 * again, also by other entries; only new suspects are added.
 */
export function recordCrashes(
  table: QuarantineTable,
  reports: readonly CrashEvidence[],
  nowMs: number,
  incident = table.nextIncident,
): void {
  let isChanged = false;
  for (const report of reports) {
    if (addSuspects(table, report, incident, nowMs)) isChanged = true;
    for (const fingerprint of report.failedTrials) {
      recordFailedTrial(table, fingerprint, nowMs);
      isChanged = true;
    }
  }
  if (!isChanged) return;
  table.nextIncident = Math.max(table.nextIncident, incident + 1);
  const involved = reports.flatMap(report => report.suspects);
  quarantineCauses(table, new Set(involved.map(fingerprintOf)), nowMs);
  evictOldest(table.crashes, MAX_CRASHES);
  evictCrowded(table);
  evictOldest(table.quarantined, MAX_QUARANTINED);
  table.version += 1;
}

/** Returns whether the report holds new suspects. */
function addSuspects(
  table: QuarantineTable,
  {crash, suspects, wasAlone, isCertain}: CrashEvidence,
  incident: number,
  nowMs: number,
): boolean {
  const known = table.crashes.get(crash);
  const merged = new Map(known?.suspects);
  for (const suspect of suspects) {
    const recorded = merged.get(suspect.fingerprint);
    if (recorded === undefined && merged.size >= MAX_SUSPECTS_PER_CRASH) break;
    merged.set(
      suspect.fingerprint,
      recorded ? mergeSuspects(recorded, suspect) : suspect,
    );
  }
  const isNowCertain = isCertain !== false && known?.isCertain === false;
  const hasMore = merged.size > (known?.suspects.size ?? 0);
  if (!hasMore && !isNowCertain) return false;
  const recordedIncident = wasAlone ? undefined : known?.incident;
  table.crashes.set(crash, {
    crash,
    incident: recordedIncident ?? incident,
    suspects: merged,
    // Undefined in log entries of earlier versions, whose crashes are certain.
    isCertain: isCertain !== false || (known?.isCertain ?? false),
    updatedAtMs: nowMs,
  });
  return true;
}

/**
 * Takes over requests that an earlier table had quarantined, of which the crashes
 * are not known any more.
 */
export function inheritQuarantine(
  table: QuarantineTable,
  fingerprints: readonly Fingerprint[],
  nowMs: number,
): void {
  for (const fingerprint of fingerprints) {
    if (table.quarantined.has(fingerprint)) continue;
    table.quarantined.set(fingerprint, {
      fingerprint,
      kind: 'request',
      failedTrials: 0,
      updatedAtMs: nowMs,
    });
    table.version += 1;
  }
  evictOldest(table.quarantined, MAX_QUARANTINED);
}

function recordFailedTrial(
  table: QuarantineTable,
  fingerprint: Fingerprint,
  nowMs: number,
): void {
  const row = table.quarantined.get(fingerprint);
  if (row === undefined) return;
  const failedTrials = row.failedTrials + 1;
  table.quarantined.set(fingerprint, {
    ...row,
    failedTrials,
    updatedAtMs: nowMs,
  });
}

const fingerprintOf = ({fingerprint}: Suspect): Fingerprint => fingerprint;

/** Only what was involved in a new crash can have become a proven cause. */
function quarantineCauses(
  table: QuarantineTable,
  candidates: ReadonlySet<Fingerprint>,
  nowMs: number,
): void {
  for (;;) {
    const causes = findCauses(table, candidates);
    if (causes.length === 0) return;
    for (const {fingerprint, kind} of causes) {
      table.quarantined.set(fingerprint, {
        fingerprint,
        kind,
        failedTrials: 0,
        updatedAtMs: nowMs,
      });
    }
  }
}

function evictOldest(rows: Map<unknown, unknown>, max: number): void {
  for (const key of rows.keys()) {
    if (rows.size <= max) return;
    rows.delete(key);
  }
}

/** Removes the oldest crashes while all together have too many suspects. */
function evictCrowded({crashes}: QuarantineTable): void {
  let count = 0;
  for (const row of crashes.values()) count += row.suspects.size;
  for (const [crash, {suspects}] of crashes) {
    if (count <= MAX_SUSPECTS) return;
    crashes.delete(crash);
    count -= suspects.size;
  }
}

/**
 * Clears a suspect that a target answered, and releases it if it was
 * quarantined. Returns false if there was nothing to clear.
 */
export function recordSuccess(
  table: QuarantineTable,
  fingerprint: Fingerprint,
): boolean {
  if (suspicionOf(table, fingerprint) === 'clear') return false;
  removeSuspects(table, [], [fingerprint]);
  return true;
}

/** Removes crashes, and suspects from all crashes and from the quarantine. */
export function removeSuspects(
  table: QuarantineTable,
  crashes: readonly CrashId[],
  fingerprints: readonly Fingerprint[],
): void {
  for (const crash of crashes) table.crashes.delete(crash);
  for (const fingerprint of fingerprints) {
    table.quarantined.delete(fingerprint);
    for (const row of table.crashes.values()) {
      row.suspects.delete(fingerprint);
      if (row.suspects.size === 0) table.crashes.delete(row.crash);
    }
  }
  table.version += 1;
}

/**
 * Takes back a crash of a target that only was silent, and the refusals that
 * the other crashes do not prove.
 */
export function retractCrash(table: QuarantineTable, crash: CrashId): void {
  const row = table.crashes.get(crash);
  if (row === undefined || row.isCertain) return;
  table.crashes.delete(crash);
  for (const fingerprint of row.suspects.keys()) {
    const others = [...table.crashes.values()].filter(other =>
      other.suspects.has(fingerprint),
    );
    const kind = table.quarantined.get(fingerprint)?.kind;
    const isUnproven = kind && others.length < minCrashes(table, kind);
    if (isUnproven) table.quarantined.delete(fingerprint);
  }
  table.version += 1;
}

function minCrashes({thresholds}: QuarantineTable, kind: Suspect['kind']) {
  return thresholds[kind === 'part' ? 'part' : 'request'].crashes;
}

export interface StaleSuspects {
  readonly crashes: readonly CrashId[];
  readonly fingerprints: readonly Fingerprint[];
}

/** What was unchanged for `retentionMs`; undefined if there is nothing. */
export function findStale(
  table: QuarantineTable,
  nowMs: number,
  retentionMs: number,
): StaleSuspects | undefined {
  const isStale = (row: {readonly updatedAtMs: number}) =>
    nowMs - row.updatedAtMs >= retentionMs;
  const crashes = [...table.crashes.values()].filter(isStale);
  const quarantined = [...table.quarantined.values()].filter(isStale);
  if (crashes.length === 0 && quarantined.length === 0) return undefined;
  return {
    crashes: crashes.map(row => row.crash),
    fingerprints: quarantined.map(row => row.fingerprint),
  };
}

/** Removes suspects and quarantined requests unchanged for `retentionMs`. */
export function expireSuspects(
  table: QuarantineTable,
  nowMs: number,
  retentionMs: number,
): void {
  const stale = findStale(table, nowMs, retentionMs);
  if (stale) removeSuspects(table, stale.crashes, stale.fingerprints);
}

/** Whether a suspect that was in this many crashes may run only alone. */
function isWatched({kind, wasHealthy}: Suspect, crashes: number): boolean {
  if (kind === 'part') return false;
  return crashes >= (wasHealthy ? WATCHED_HEALTHY_CRASHES : WATCHED_CRASHES);
}

export function viewOf(table: QuarantineTable): QuarantineView {
  const suspects = new Map<Fingerprint, Suspect>();
  const crashes = new Map<Fingerprint, number>();
  for (const row of table.crashes.values()) {
    for (const [fingerprint, suspect] of row.suspects) {
      const known = suspects.get(fingerprint);
      suspects.set(
        fingerprint,
        known ? mergeSuspects(known, suspect) : suspect,
      );
      crashes.set(fingerprint, (crashes.get(fingerprint) ?? 0) + 1);
    }
  }
  const watched = [...suspects.values()].filter(suspect =>
    isWatched(suspect, crashes.get(suspect.fingerprint) ?? 0),
  );
  return {
    version: table.version,
    suspects: [...suspects.keys()],
    watched: watched.map(({fingerprint}) => fingerprint),
    quarantined: [...table.quarantined.values()].map(
      ({fingerprint, failedTrials}) => ({fingerprint, failedTrials}),
    ),
  };
}

/**
 * Finds what crashes the targets that run it: single requests, and parts of
 * prompts that many requests share.
 *
 * Every run that a target had not begun to answer when it crashed makes its
 * request and the parts of its prompt suspects. An answer of any target clears
 * the suspects of its request. A suspect that was involved in several incidents
 * without an answer in between is quarantined.
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

const MAX_SUSPECTS_PER_CRASH = 64;
const MAX_CRASHES = 128;
const MAX_QUARANTINED = 256;

/** For runs that share their targets with other runs. */
export const SHARED_TARGET_THRESHOLDS: CrashThresholds = {
  request: 3,
  part: 3,
  healthy: 5,
};

/** For suspect requests that run one at a time. */
export const ISOLATED_SUSPECT_THRESHOLDS: CrashThresholds = {
  ...SHARED_TARGET_THRESHOLDS,
  request: 2,
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
 * Records crashes that happened together, as one incident; `incident` joins them
 * to an earlier one. A crash may be reported again, also by other entries; only
 * new suspects are added. Returns the incident.
 */
export function recordCrashes(
  table: QuarantineTable,
  reports: readonly CrashEvidence[],
  nowMs: number,
  incident = table.nextIncident,
): number {
  let isChanged = false;
  for (const report of reports) {
    if (addSuspects(table, report, incident, nowMs)) isChanged = true;
    for (const fingerprint of report.failedTrials) {
      recordFailedTrial(table, fingerprint, nowMs);
      isChanged = true;
    }
  }
  if (!isChanged) return incident;
  table.nextIncident = Math.max(table.nextIncident, incident + 1);
  quarantineCauses(table, nowMs);
  evictOldest(table.crashes, MAX_CRASHES);
  evictOldest(table.quarantined, MAX_QUARANTINED);
  table.version += 1;
  return incident;
}

/** Returns whether the report holds new suspects. */
function addSuspects(
  table: QuarantineTable,
  {crash, suspects}: CrashEvidence,
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
  if (merged.size === (known?.suspects.size ?? 0)) return false;
  table.crashes.set(crash, {
    crash,
    incident: known?.incident ?? incident,
    suspects: merged,
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

function quarantineCauses(table: QuarantineTable, nowMs: number): void {
  for (;;) {
    const causes = findCauses(table);
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

export function viewOf(table: QuarantineTable): QuarantineView {
  const suspects = new Set<Fingerprint>();
  for (const row of table.crashes.values()) {
    for (const fingerprint of row.suspects.keys()) suspects.add(fingerprint);
  }
  return {
    version: table.version,
    suspects: [...suspects],
    quarantined: [...table.quarantined.values()].map(
      ({fingerprint, failedTrials}) => ({fingerprint, failedTrials}),
    ),
  };
}

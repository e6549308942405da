/**
 * Finds poison requests: requests that crash the targets that run them.
 *
 * Every request that ran on a target when the target crashed is a suspect.
 * Suspects run one at a time. A second crash quarantines the suspect, unless
 * another suspect was running in both crashes too; then only a third crash
 * distinguishes them.
 */
import type {Fingerprint} from '@samphirefield/core';
import type {CrashId, QuarantineTable, SuspectRow, Suspicion} from './types.js';

const CRASHES_TO_QUARANTINE = 2;
const CRASHES_WHEN_AMBIGUOUS = 3;
const MAX_SUSPECTS = 10_000;

export function createQuarantine(): QuarantineTable {
  return {suspects: new Map(), runningAtCrash: new Map(), version: 0};
}

export function suspicionOf(
  table: QuarantineTable,
  fingerprint: Fingerprint,
): Suspicion {
  const row = table.suspects.get(fingerprint);
  if (row === undefined) return 'clear';
  return row.isQuarantined ? 'quarantined' : 'suspect';
}

function crashCount(table: QuarantineTable, fingerprint: Fingerprint): number {
  return table.suspects.get(fingerprint)?.crashes.size ?? 0;
}

/**
 * Whether a suspect is the proven cause of its crashes: it was running in three,
 * or in two of which one had no other suspect with two crashes.
 */
function isProvenCause(table: QuarantineTable, row: SuspectRow): boolean {
  if (row.crashes.size < CRASHES_TO_QUARANTINE) return false;
  if (row.crashes.size >= CRASHES_WHEN_AMBIGUOUS) return true;
  const isEquallySuspect = (other: Fingerprint) =>
    other !== row.fingerprint &&
    crashCount(table, other) >= CRASHES_TO_QUARANTINE;
  return [...row.crashes].some(crash => {
    const concurrent = table.runningAtCrash.get(crash) ?? new Set();
    return ![...concurrent].some(isEquallySuspect);
  });
}

/**
 * Records the requests that ran on a target when it crashed. The same crash may
 * be reported again, also by other entries; only new requests are counted.
 */
export function recordCrash(
  table: QuarantineTable,
  crash: CrashId,
  fingerprints: readonly Fingerprint[],
  nowMs: number,
): void {
  const running = table.runningAtCrash.get(crash) ?? new Set<Fingerprint>();
  table.runningAtCrash.set(crash, running);
  const added = fingerprints.filter(fingerprint => !running.has(fingerprint));
  if (added.length === 0) return;
  for (const fingerprint of added) {
    running.add(fingerprint);
    const known = table.suspects.get(fingerprint);
    const crashes = new Set([...(known?.crashes ?? []), crash]);
    const isQuarantined = known?.isQuarantined ?? false;
    table.suspects.delete(fingerprint);
    table.suspects.set(fingerprint, {
      fingerprint,
      crashes,
      isQuarantined,
      updatedAtMs: nowMs,
    });
  }
  quarantineProvenCauses(table);
  evictOldest(table);
  table.version += 1;
}

function quarantineProvenCauses(table: QuarantineTable): void {
  for (const row of table.suspects.values()) {
    if (row.isQuarantined || !isProvenCause(table, row)) continue;
    table.suspects.set(row.fingerprint, {...row, isQuarantined: true});
  }
}

function evictOldest(table: QuarantineTable): void {
  while (table.suspects.size > MAX_SUSPECTS) {
    const oldest = table.suspects.keys().next().value as Fingerprint;
    table.suspects.delete(oldest);
  }
}

/** Clears a suspect that finished. Returns false if there was none to clear. */
export function recordSuccess(
  table: QuarantineTable,
  fingerprint: Fingerprint,
): boolean {
  const row = table.suspects.get(fingerprint);
  if (row === undefined || row.isQuarantined) return false;
  table.suspects.delete(fingerprint);
  table.version += 1;
  return true;
}

/** Removes suspects and quarantined requests unchanged for `retentionMs`. */
export function expireSuspects(
  table: QuarantineTable,
  nowMs: number,
  retentionMs: number,
): void {
  let isChanged = false;
  for (const row of table.suspects.values()) {
    if (nowMs - row.updatedAtMs < retentionMs) continue;
    table.suspects.delete(row.fingerprint);
    isChanged = true;
  }
  for (const [crash, running] of table.runningAtCrash) {
    const isNeeded = [...running].some(item => table.suspects.has(item));
    if (!isNeeded) table.runningAtCrash.delete(crash);
  }
  if (isChanged) table.version += 1;
}

/**
 * Finds requests that crash the targets that run them.
 *
 * Everything that ran on a target when it died is a suspect. Suspects run one
 * at a time; a second death quarantines the suspect, unless another suspect
 * died with it twice as well: then a third death has to tell them apart.
 */
import type {Fingerprint} from '@samphirefield/core';
import type {DeathId, QuarantineTable, SuspectRow, Suspicion} from './types.js';

const DEATHS_TO_QUARANTINE = 2;
const DEATHS_WHEN_AMBIGUOUS = 3;
const MAX_SUSPECTS = 10_000;

export function createQuarantine(): QuarantineTable {
  return {suspects: new Map(), runningAtDeath: new Map(), version: 0};
}

export function suspicionOf(
  table: QuarantineTable,
  fingerprint: Fingerprint,
): Suspicion {
  const row = table.suspects.get(fingerprint);
  if (row === undefined) return 'clear';
  return row.isQuarantined ? 'quarantined' : 'suspect';
}

function deathCount(table: QuarantineTable, fingerprint: Fingerprint): number {
  return table.suspects.get(fingerprint)?.deaths.size ?? 0;
}

function isGuilty(table: QuarantineTable, row: SuspectRow): boolean {
  if (row.deaths.size < DEATHS_TO_QUARANTINE) return false;
  if (row.deaths.size >= DEATHS_WHEN_AMBIGUOUS) return true;
  const isTwin = (other: Fingerprint) =>
    other !== row.fingerprint &&
    deathCount(table, other) >= DEATHS_TO_QUARANTINE;
  return [...row.deaths].some(death => {
    const others = table.runningAtDeath.get(death) ?? new Set();
    return ![...others].some(isTwin);
  });
}

/** Adds what ran on a target when it died; may come again and from others. */
export function recordDeath(
  table: QuarantineTable,
  death: DeathId,
  fingerprints: readonly Fingerprint[],
  nowMs: number,
): void {
  const running = table.runningAtDeath.get(death) ?? new Set<Fingerprint>();
  table.runningAtDeath.set(death, running);
  const added = fingerprints.filter(fingerprint => !running.has(fingerprint));
  if (added.length === 0) return;
  for (const fingerprint of added) {
    running.add(fingerprint);
    const known = table.suspects.get(fingerprint);
    const deaths = new Set([...(known?.deaths ?? []), death]);
    const isQuarantined = known?.isQuarantined ?? false;
    table.suspects.delete(fingerprint);
    table.suspects.set(fingerprint, {
      fingerprint,
      deaths,
      isQuarantined,
      updatedAtMs: nowMs,
    });
  }
  judge(table);
  trim(table);
  table.version += 1;
}

function judge(table: QuarantineTable): void {
  for (const row of table.suspects.values()) {
    if (row.isQuarantined || !isGuilty(table, row)) continue;
    table.suspects.set(row.fingerprint, {...row, isQuarantined: true});
  }
}

function trim(table: QuarantineTable): void {
  while (table.suspects.size > MAX_SUSPECTS) {
    const oldest = table.suspects.keys().next().value as Fingerprint;
    table.suspects.delete(oldest);
  }
}

/** Clears a suspect that ran to its end. */
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

/** Lets suspects and quarantined requests go after a while. */
export function expireSuspects(
  table: QuarantineTable,
  nowMs: number,
  keptMs: number,
): void {
  let isChanged = false;
  for (const row of table.suspects.values()) {
    if (nowMs - row.updatedAtMs < keptMs) continue;
    table.suspects.delete(row.fingerprint);
    isChanged = true;
  }
  for (const [death, running] of table.runningAtDeath) {
    const isNeeded = [...running].some(item => table.suspects.has(item));
    if (!isNeeded) table.runningAtDeath.delete(death);
  }
  if (isChanged) table.version += 1;
}

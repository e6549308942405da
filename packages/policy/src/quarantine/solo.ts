/**
 * Lets watched requests run one at a time on a service, so that a crash tells
 * which of them caused it.
 */
import type {Fingerprint, ServiceId} from '@samphirefield/core';

/** A run without an outcome for this long no longer keeps others waiting. */
const SOLO_MAX_MS = 5_000;

interface SoloRow {
  readonly fingerprints: readonly Fingerprint[];
  readonly untilMs: number;
}

/** The watched request that runs on each service. */
export type SoloTable = Map<ServiceId, SoloRow>;

export function createSolos(): SoloTable {
  return new Map();
}

/** Time after which the service is free for another; 0 if it is free now. */
export function msUntilSolo(
  solos: SoloTable,
  service: ServiceId,
  nowMs: number,
): number {
  return Math.max(0, (solos.get(service)?.untilMs ?? 0) - nowMs);
}

/** Begins a run; returns false while another one has the service. */
export function beginSolo(
  solos: SoloTable,
  service: ServiceId,
  fingerprints: readonly Fingerprint[],
  nowMs: number,
): boolean {
  if (msUntilSolo(solos, service, nowMs) > 0) return false;
  solos.set(service, {fingerprints, untilMs: nowMs + SOLO_MAX_MS});
  return true;
}

/** Ends the runs that hold one of these suspects. */
export function endSolos(
  solos: SoloTable,
  fingerprints: readonly Fingerprint[],
): void {
  for (const [service, row] of solos) {
    const isEnded = row.fingerprints.some(item => fingerprints.includes(item));
    if (isEnded) solos.delete(service);
  }
}

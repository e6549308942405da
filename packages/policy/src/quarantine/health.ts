/**
 * Remembers which parts of prompts targets lately answered. A bounded number of
 * fingerprints, the least recently answered are forgotten first.
 */
import type {Fingerprint} from '@samphirefield/core';

const MAX_FINGERPRINTS = 4_096;
const HEALTHY_FOR_MS = 120_000;

/** When each fingerprint was answered last, the oldest first. */
export type HealthTable = Map<Fingerprint, number>;

export function createHealth(): HealthTable {
  return new Map();
}

export function recordAnswer(
  health: HealthTable,
  fingerprint: Fingerprint,
  nowMs: number,
): void {
  health.delete(fingerprint);
  health.set(fingerprint, nowMs);
  if (health.size <= MAX_FINGERPRINTS) return;
  health.delete(health.keys().next().value as Fingerprint);
}

export function wasHealthy(
  health: HealthTable,
  fingerprint: Fingerprint,
  nowMs: number,
): boolean {
  const answeredAtMs = health.get(fingerprint);
  return answeredAtMs !== undefined && nowMs - answeredAtMs < HEALTHY_FOR_MS;
}

/**
 * Assigns crashes to incidents by when they happened: a rack that fails takes
 * several targets at once. Reports may come late and in any order.
 */

/** Crashes within this time of the first are one incident. */
export const INCIDENT_MS = 250;
const MAX_INCIDENTS = 64;

export interface IncidentLog {
  /** When the first crash of each recent incident happened. */
  readonly startedAtMs: Map<number, number>;
}

export function createIncidentLog(): IncidentLog {
  return {startedAtMs: new Map()};
}

/** Returns the incident of a crash; `next` if it belongs to none so far. */
export function assignIncident(
  {startedAtMs}: IncidentLog,
  crashedAtMs: number,
  next: number,
): number {
  for (const [incident, startMs] of startedAtMs) {
    if (Math.abs(crashedAtMs - startMs) <= INCIDENT_MS) return incident;
  }
  startedAtMs.set(next, crashedAtMs);
  const [oldest] = startedAtMs.keys();
  if (startedAtMs.size > MAX_INCIDENTS) startedAtMs.delete(oldest!);
  return next;
}

/**
 * Assigns crashes to incidents by when they happened: a rack that fails takes
 * several targets at once. Reports may come late and in any order.
 */
import type {CrashId} from './types.js';
import {hasStart} from './unanswered.js';

/** Crashes within this time of the first are one incident. */
export const INCIDENT_MS = 250;
const MAX_INCIDENTS = 64;

/** Reports of crashes under one name within this time are of one crash. */
const SAME_CRASH_MS = 1_000;
const MAX_STARTLESS = 256;

export interface IncidentLog {
  /** When the first crash of each recent incident happened. */
  readonly startedAtMs: Map<number, number>;
  /** The last crash of targets that announce no start time. */
  readonly startless: Map<CrashId, StartlessCrash>;
}

interface StartlessCrash {
  readonly name: CrashId;
  readonly crashedAtMs: number;
}

export function createIncidentLog(): IncidentLog {
  return {startedAtMs: new Map(), startless: new Map()};
}

/**
 * Tells a crash from an earlier one of the same target that announces no start
 * time: by when it happened.
 */
export function nameCrash(
  {startless}: IncidentLog,
  crash: CrashId,
  crashedAtMs: number,
  incident: number,
): CrashId {
  if (hasStart(crash)) return crash;
  const last = startless.get(crash);
  const isSame =
    last && Math.abs(crashedAtMs - last.crashedAtMs) <= SAME_CRASH_MS;
  if (isSame) return last.name;
  const name = `${crash}#${incident}`;
  startless.delete(crash);
  startless.set(crash, {name, crashedAtMs});
  const [oldest] = startless.keys();
  if (startless.size > MAX_STARTLESS) startless.delete(oldest!);
  return name;
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

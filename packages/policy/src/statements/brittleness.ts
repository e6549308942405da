/**
 * Services whose targets end when they have to reject much. The targets of a
 * service are brittle together, so that one that has just started counts as
 * brittle before its first answer. Of a brittle target only the free slots are
 * used, and less after it rejected something.
 */
import type {ServiceId, TargetId} from '@samphirefield/core';
import type {TargetStart} from '../quarantine/index.js';

/** Answers without the statement end it only if it was not heard for this long. */
const SETTLE_MS = 2_000;
/** A target with fewer slots keeps none free. */
const MIN_SLOTS_WITH_SPARE = 4;
/** A run that was broken off may be at work for this long. */
const BROKEN_OFF_MS = 1_000;
/** Time in which a target that rejected something gets all its runs back. */
const RECOVER_MS = 4_000;
const MIN_PAUSE_MS = 100;
const MAX_PAUSE_MS = 1_000;
/** Share of the stated number that may be rejected a second. */
const REJECTED_SHARE = 0.5;
/** Share of an engine's KV cache that is used. */
const KV_SHARE = 0.9;
/** A part below one slot is used in some of the spans of this length. */
const TURN_MS = 500;
const MS_PER_S = 1_000;

interface BrittleService {
  /** Rejections a second that a target survives, by the last statement. */
  readonly maxRejectionsPerS: number;
  readonly statedAtMs: number;
}

/** What this process has seen of one start of a brittle target. */
interface BrittleTarget {
  readonly bornMs: number;
  /** Until when the runs that were broken off may be at work. */
  readonly brokenOffUntilMs: readonly number[];
  /** Runs that were left at the last rejection; undefined: none was rejected. */
  readonly reduced: {readonly room: number; readonly atMs: number} | undefined;
}

/** A start of a target, on which runs are to be placed. */
export interface BrittlePlace {
  readonly service: ServiceId;
  readonly start: TargetStart;
  readonly slots: number;
  /** Rejections a second that it stated itself; undefined: nothing yet. */
  readonly statedPerS: number | undefined;
}

export interface Brittleness {
  readonly services: Map<ServiceId, BrittleService>;
  /** When the last statement of a service was known to be over. */
  readonly endedAtMs: Map<ServiceId, number>;
  readonly targets: Map<TargetId, BrittleTarget>;
}

export function createBrittleness(): Brittleness {
  return {services: new Map(), endedAtMs: new Map(), targets: new Map()};
}

/**
 * Records whether an answer states that the targets of a service are brittle. One
 * that is older than the end of all others begins nothing. Returns whether they
 * become brittle or are no longer; targets of a service may state different
 * numbers.
 */
export function recordBrittleness(
  {services, endedAtMs}: Brittleness,
  service: ServiceId,
  maxRejectionsPerS: number | undefined,
  atMs: number,
): boolean {
  const known = services.get(service);
  if (maxRejectionsPerS === undefined) {
    if (known === undefined || atMs - known.statedAtMs < SETTLE_MS)
      return false;
    endedAtMs.set(service, atMs);
    return services.delete(service);
  }
  if (atMs <= (endedAtMs.get(service) ?? Number.NEGATIVE_INFINITY))
    return false;
  const statedAtMs = Math.max(atMs, known?.statedAtMs ?? atMs);
  services.set(service, {maxRejectionsPerS, statedAtMs});
  return known === undefined;
}

/** Forgets what services state, and what ended. */
export function clearBrittleness({services, endedAtMs}: Brittleness): void {
  services.clear();
  endedAtMs.clear();
}

/** Rejections a second that a target survives; undefined: any number. */
export function maxRejectionsOf(
  {services}: Brittleness,
  service: ServiceId,
): number | undefined {
  return services.get(service)?.maxRejectionsPerS;
}

function targetOf(
  {targets}: Brittleness,
  {target, bornMs}: TargetStart,
): BrittleTarget {
  const known = targets.get(target);
  if (known?.bornMs === bornMs) return known;
  return {bornMs, brokenOffUntilMs: [], reduced: undefined};
}

/** Counts a run that may still be at work, as nobody said that it ended. */
export function recordBrokenOff(
  tables: Brittleness,
  start: TargetStart,
  nowMs: number,
): void {
  const target = targetOf(tables, start);
  const present = target.brokenOffUntilMs.filter(untilMs => untilMs > nowMs);
  const brokenOffUntilMs = [...present, nowMs + BROKEN_OFF_MS];
  tables.targets.set(start.target, {...target, brokenOffUntilMs});
}

/** Counts a rejection by a target on which `runsLeft` others are. */
export function recordRejection(
  tables: Brittleness,
  start: TargetStart,
  runsLeft: number,
  nowMs: number,
): void {
  const target = targetOf(tables, start);
  const reduced = {room: runsLeft, atMs: nowMs};
  tables.targets.set(start.target, {...target, reduced});
}

/** How long a target gets nothing after it rejected something. */
function pauseMsAfterRejection(maxRejectionsPerS: number): number {
  const rejectedPerS = maxRejectionsPerS * REJECTED_SHARE;
  const pauseMs = MS_PER_S / Math.max(1, rejectedPerS);
  return Math.min(MAX_PAUSE_MS, Math.max(MIN_PAUSE_MS, pauseMs));
}

/**
 * Most runs that all entries together may have at a brittle target, so that none
 * has to wait there; undefined if the service is not brittle.
 */
export function roomAt(
  tables: Brittleness,
  {service, start, slots, statedPerS}: BrittlePlace,
  nowMs: number,
): number | undefined {
  const serviceStatedPerS = maxRejectionsOf(tables, service);
  if (serviceStatedPerS === undefined) return undefined;
  const maxRejectionsPerS = statedPerS ?? serviceStatedPerS;
  const {brokenOffUntilMs, reduced} = targetOf(tables, start);
  const atWork = brokenOffUntilMs.filter(untilMs => untilMs > nowMs).length;
  const used = slots < MIN_SLOTS_WITH_SPARE ? slots : slots - 1;
  if (reduced === undefined) return used - atWork;
  const sinceMs = nowMs - reduced.atMs;
  if (sinceMs < pauseMsAfterRejection(maxRejectionsPerS)) return 0;
  const recovered = Math.floor((sinceMs / RECOVER_MS) * slots);
  return Math.min(used - atWork, Math.max(1, reduced.room + recovered));
}

/**
 * One entry's part of the room, of which all use the same part. What is below
 * one run is granted by lot: `draw` in [0, 1) is renewed each turn.
 */
export function partOfRoom(
  room: number,
  entryCount: number,
  draw: number,
): number {
  const part = Math.max(0, room) / Math.max(1, entryCount);
  const whole = Math.floor(part);
  return draw < part - whole ? whole + 1 : whole;
}

/** The number of the turn, which changes when lots are drawn again. */
export function turnOf(nowMs: number): number {
  return Math.floor(nowMs / TURN_MS);
}

/**
 * Whether the KV cache of a brittle engine takes a run beside the others, for a
 * dispatcher with a share of the capacity.
 */
export function hasKvRoom(
  capacityTokens: number,
  share: number,
  usedTokens: number,
  neededTokens: number,
): boolean {
  if (usedTokens === 0) return neededTokens <= capacityTokens;
  return usedTokens + neededTokens <= capacityTokens * share * KV_SHARE;
}

export function forgetBrittle({targets}: Brittleness, target: TargetId): void {
  targets.delete(target);
}

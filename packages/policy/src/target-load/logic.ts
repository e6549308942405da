/**
 * Keeps what targets state of their load and pace, and how long work was
 * measured to take on them, and estimates from both how long a request will
 * take. The same functions serve the entry that receives a response and the
 * leader that entries report to.
 *
 * A statement belongs to one start of a target and loses its weight within
 * seconds. The pace is split into a steady part, learned over seconds, and a
 * short slowdown, which hardly affects longer work. What was measured
 * replaces the stated steady part as samples accumulate, so a wrong statement is
 * corrected. All effects are bounded.
 *
 * Designed for 2,100 targets whose rows change some times a second each.
 */
import type {ServiceId, TargetId} from '@samphirefield/core';
import type {TargetStart} from '../quarantine/index.js';
import type {
  LoadStatement,
  MeasuredPace,
  PacedService,
  RowEstimate,
  StatedLoad,
  TargetLoadRow,
  TargetLoadTable,
} from './types.js';

const MAX_ROWS = 4_096;
const MAX_SERVICES = 256;
/** A service whose targets stated no pace for this long has none. */
const PACED_FOR_MS = 60_000;
/** Age at which half of a statement's weight is left; at 2 s it is 3 in 100. */
const STATEMENT_HALF_LIFE_MS = 400;
/** The steady pace loses half of its weight in this time without statements. */
const STEADY_HALF_LIFE_MS = 10_000;
/** Mean time for which a slowdown of about 0.6 s still lasts once it is known. */
const SLOWDOWN_LASTS_MS = 300;
/**
 * Times in which the steady pace follows higher and lower statements. Slowdowns
 * take 15 % of the time and should not raise it, so it falls faster.
 */
const STEADY_RISE_MS = 6_000;
const STEADY_FALL_MS = 1_000;
/** Longest time for which one statement changes the steady pace. */
const STATEMENT_SPAN_MS = 1_000;
/** Weight of samples that counts as much as what a target states. */
const STATED_WEIGHT = 6;
const MEASURED_HALF_LIFE_MS = 6_000;
const MAX_MEASURED_WEIGHT = 60;
/** Range of the duration of work, in multiples of the usual. */
const MIN_PACE = 0.4;
const MAX_PACE = 4;
const MAX_OTHER_LOAD = 2;
/** Part of the mean load that one statement replaces. */
const MEAN_LOAD_STEP = 0.02;
const PCT = 100;
/**
 * Time for which a computed estimate is reused: a choice among 2,100 targets takes
 * too long if it computes each of them.
 */
const ESTIMATE_VALID_MS = 20;

export function createTargetLoads(): TargetLoadTable {
  return {rows: new Map(), services: new Map()};
}

function clampPace(pace: number): number {
  return Math.min(MAX_PACE, Math.max(MIN_PACE, pace));
}

function halved(ageMs: number, halfLifeMs: number): number {
  return 0.5 ** (Math.max(0, ageMs) / halfLifeMs);
}

/** The steady pace after another statement. */
function nextSteadyPace(
  earlier: StatedLoad | undefined,
  pace: number,
  atMs: number,
): number {
  if (earlier === undefined) return pace;
  const spanMs = Math.min(STATEMENT_SPAN_MS, Math.max(0, atMs - earlier.atMs));
  const {steadyPace} = earlier;
  const timeMs = pace > steadyPace ? STEADY_RISE_MS : STEADY_FALL_MS;
  return steadyPace + (pace - steadyPace) * (1 - Math.exp(-spanMs / timeMs));
}

/** What a statement means to a dispatcher that has granted `ownRuns`. */
export function statedLoadOf(
  {running, waiting, slots, pacePct}: LoadStatement,
  ownRuns: number,
): {otherLoad: number; pace: number} {
  const otherRuns = Math.max(0, running + waiting - ownRuns);
  return {
    otherLoad: Math.min(MAX_OTHER_LOAD, otherRuns / slots),
    pace: clampPace((pacePct ?? PCT) / PCT),
  };
}

/** Records a statement, unless a newer one is known. */
export function recordStatedLoad(
  table: TargetLoadTable,
  {target, bornMs}: TargetStart,
  service: ServiceId,
  {otherLoad, pace}: {otherLoad: number; pace: number},
  atMs: number,
): boolean {
  const known = table.rows.get(target);
  if (known && known.bornMs > bornMs) return false;
  const current = known?.bornMs === bornMs ? known : undefined;
  const earlier = current?.stated;
  if (earlier && earlier.atMs > atMs) return false;
  const boundedPace = clampPace(pace);
  const boundedLoad = Math.min(MAX_OTHER_LOAD, Math.max(0, otherLoad));
  const paced = pacedService(table, service, boundedLoad, atMs);
  const stated: StatedLoad = {
    atMs,
    otherLoad: boundedLoad,
    excessLoad: boundedLoad - paced.meanLoad,
    pace: boundedPace,
    steadyPace: nextSteadyPace(earlier, boundedPace, atMs),
  };
  const {measured} = current ?? {measured: undefined};
  setRow(table, target, {bornMs, stated, measured, estimate: undefined});
  return true;
}

/** Adds a statement to what is known of its service. */
function pacedService(
  {services}: TargetLoadTable,
  service: ServiceId,
  otherLoad: number,
  atMs: number,
): PacedService {
  const known = services.get(service);
  if (known === undefined) {
    const first = {atMs, meanLoad: otherLoad};
    if (services.size < MAX_SERVICES) services.set(service, first);
    return first;
  }
  known.atMs = Math.max(atMs, known.atMs);
  known.meanLoad += (otherLoad - known.meanLoad) * MEAN_LOAD_STEP;
  return known;
}

/** Adds samples of how long work took, relative to the service's targets. */
export function recordMeasured(
  table: TargetLoadTable,
  {target, bornMs}: TargetStart,
  meanLog: number,
  samples: number,
  nowMs: number,
): void {
  const known = table.rows.get(target);
  if (known && known.bornMs > bornMs) return;
  const current = known?.bornMs === bornMs ? known : undefined;
  const weight = measuredWeight(current?.measured, nowMs);
  const sum = weight + samples;
  const mean =
    ((current?.measured?.meanLog ?? 0) * weight + meanLog * samples) / sum;
  const measured: MeasuredPace = {
    atMs: nowMs,
    meanLog: mean,
    weight: Math.min(MAX_MEASURED_WEIGHT, sum),
  };
  const {stated} = current ?? {stated: undefined};
  setRow(table, target, {bornMs, stated, measured, estimate: undefined});
}

function measuredWeight(
  measured: MeasuredPace | undefined,
  nowMs: number,
): number {
  if (measured === undefined) return 0;
  return measured.weight * halved(nowMs - measured.atMs, MEASURED_HALF_LIFE_MS);
}

function setRow(
  {rows}: TargetLoadTable,
  target: TargetId,
  row: TargetLoadRow,
): void {
  if (!rows.has(target) && rows.size >= MAX_ROWS) {
    const [oldest] = rows.keys();
    rows.delete(oldest!);
  }
  rows.set(target, row);
}

/** Whether targets of the service state a pace. */
export function isPaced(
  table: TargetLoadTable,
  service: ServiceId,
  nowMs: number,
): boolean {
  const atMs = table.services.get(service)?.atMs;
  return atMs !== undefined && nowMs - atMs <= PACED_FOR_MS;
}

function rowOf(
  {rows}: TargetLoadTable,
  {target, bornMs}: TargetStart,
): TargetLoadRow | undefined {
  const row = rows.get(target);
  return row?.bornMs === bornMs ? row : undefined;
}

/** The steady pace, from what is stated and what was measured. */
function steadyPace({stated, measured}: TargetLoadRow, nowMs: number): number {
  const statedShare = stated
    ? halved(nowMs - stated.atMs, STEADY_HALF_LIFE_MS)
    : 0;
  const statedWeight = STATED_WEIGHT * statedShare;
  const weight = measuredWeight(measured, nowMs);
  // Without any evidence the pace is the usual one.
  const missingWeight = STATED_WEIGHT * (1 - statedShare);
  const statedLog = stated ? Math.log(stated.steadyPace) : 0;
  const sum =
    statedLog * statedWeight + (measured ? measured.meanLog * weight : 0);
  return clampPace(Math.exp(sum / (statedWeight + weight + missingWeight)));
}

/**
 * How much longer work of `workMs` takes for a slowdown to `factor` times the
 * steady pace, which ends soon.
 */
function slowdownFactor(factor: number, workMs: number): number {
  const doneMs = SLOWDOWN_LASTS_MS / factor;
  if (workMs <= doneMs) return factor;
  return 1 + (SLOWDOWN_LASTS_MS - doneMs) / workMs;
}

/**
 * How long work that usually takes `workMs` is expected to take on the target
 * if it starts now, in multiples of the usual; 1 if nothing is known.
 */
export function durationFactor(
  table: TargetLoadTable,
  start: TargetStart,
  workMs: number,
  nowMs: number,
): number {
  const row = rowOf(table, start);
  if (row === undefined) return 1;
  const estimate = estimateOf(row, nowMs);
  const now = slowdownFactor(estimate.slowdown, workMs);
  return clampPace(estimate.steadyPace * (1 + estimate.weight * (now - 1)));
}

function estimateOf(row: TargetLoadRow, nowMs: number): RowEstimate {
  const {estimate, stated} = row;
  const isValid =
    estimate && Math.abs(nowMs - estimate.atMs) <= ESTIMATE_VALID_MS;
  if (isValid) return estimate;
  row.estimate = {
    atMs: nowMs,
    steadyPace: steadyPace(row, nowMs),
    slowdown: stated ? stated.pace / stated.steadyPace : 1,
    weight: stated ? halved(nowMs - stated.atMs, STATEMENT_HALF_LIFE_MS) : 0,
  };
  return row.estimate;
}

/**
 * By how much a target is busier than the others of its service with requests
 * that the dispatcher has no record of, as a share of its slots; 0 if nothing is
 * known. A target without a recent statement counts as busy as the others:
 * as an idle one it would get a burst from every entry.
 */
export function excessLoadOf(
  table: TargetLoadTable,
  start: TargetStart,
  nowMs: number,
): number {
  const row = rowOf(table, start);
  if (row?.stated === undefined) return 0;
  return row.stated.excessLoad * estimateOf(row, nowMs).weight;
}

export function forgetTargetLoad(
  table: TargetLoadTable,
  target: TargetId,
): void {
  table.rows.delete(target);
}

/**
 * What an entry reports to the leader of the load of targets: rows that changed,
 * the most important first, within a number of bytes a second. A row that does
 * not fit waits; only its newest state is sent.
 *
 * Designed for 400 bytes a second an entry, about eight rows; 20 entries report
 * each change of thirty targets several times over.
 */
import {targetId, type ServiceId, type TargetId} from '@samphirefield/core';
import {recordMeasured, recordStatedLoad} from './logic.js';
import type {SampleTable} from './samples.js';
import type {LoadReport, StatedLoad, TargetLoadTable} from './types.js';

/** A report as it is sent; short, since each byte counts. */
export type EncodedReport = readonly [
  target: string,
  bornMs: number,
  /** -1: nothing was stated. */
  ageMs: number,
  otherLoadPct: number,
  pacePct: number,
  samples: number,
  meanLogPct: number,
];

/** Bytes of the message around its rows. */
const ENVELOPE_BYTES = 64;
/** An older statement is not worth its bytes. */
const MAX_AGE_MS = 1_000;
/** Up to this age the steady pace is reported to a leader that has no row. */
const MAX_STEADY_AGE_MS = 10_000;
/** Changes that are worth a row: of the pace (as a logarithm), and of the load. */
const MIN_PACE_CHANGE = 0.15;
const MIN_LOAD_CHANGE = 0.1;
/** Samples that are worth a row. */
const MIN_SAMPLES = 4;
/** A statement that changed nothing is repeated after this time. */
const REPEAT_AFTER_MS = 1_500;
/** Values that order the rows: of a repetition and of samples; 1: a new target. */
const REPEAT_VALUE = 0.05;
const SAMPLE_VALUE = 0.02;
const MAX_SAMPLES_VALUE = 0.4;
const PCT = 100;
const MS_PER_S = 1_000;

interface SentRow {
  readonly bornMs: number;
  readonly statedAtMs: number;
  readonly pace: number;
  readonly otherLoad: number;
  readonly atMs: number;
}

/** What was reported, and how many bytes may be sent. */
export interface ReportState {
  readonly sent: Map<TargetId, SentRow>;
  readonly bytesPerS: number;
  bytes: number;
  refilledAtMs: number;
}

export function createReports(bytesPerS: number, nowMs: number): ReportState {
  return {sent: new Map(), bytesPerS, bytes: bytesPerS, refilledAtMs: nowMs};
}

function refill(state: ReportState, nowMs: number): void {
  const addedBytes =
    ((nowMs - state.refilledAtMs) / MS_PER_S) * state.bytesPerS;
  state.bytes = Math.min(state.bytesPerS, state.bytes + addedBytes);
  state.refilledAtMs = nowMs;
}

/** How much a report of the row is worth; 0: it is not sent. */
function valueOf(
  report: LoadReport,
  sent: SentRow | undefined,
  nowMs: number,
): number {
  const samplesValue =
    report.samples >= MIN_SAMPLES
      ? Math.min(MAX_SAMPLES_VALUE, report.samples * SAMPLE_VALUE)
      : 0;
  if (report.ageMs === undefined) return samplesValue;
  const isSameStart = sent?.bornMs === report.bornMs;
  if (!isSameStart) {
    const isOld = report.ageMs > MAX_AGE_MS;
    return samplesValue + (isOld ? REPEAT_VALUE : 1);
  }
  const paceChange = Math.abs(Math.log(report.pace / sent.pace));
  const loadChange = Math.abs(report.otherLoad - sent.otherLoad);
  const isChange =
    paceChange >= MIN_PACE_CHANGE || loadChange >= MIN_LOAD_CHANGE;
  const isDue = nowMs - sent.atMs >= REPEAT_AFTER_MS;
  const changeValue = isChange
    ? paceChange + loadChange
    : isDue
      ? REPEAT_VALUE
      : 0;
  return changeValue + samplesValue;
}

function isWorthSending(
  {atMs}: StatedLoad,
  bornMs: number,
  sent: ReportState['sent'],
  target: TargetId,
  nowMs: number,
): boolean {
  const row = sent.get(target);
  if (row?.bornMs !== bornMs) return nowMs - atMs <= MAX_STEADY_AGE_MS;
  return nowMs - atMs <= MAX_AGE_MS && row.statedAtMs !== atMs;
}

/** A slowdown that was stated too long ago is over. */
function reportedPace({atMs, pace, steadyPace}: StatedLoad, nowMs: number) {
  return nowMs - atMs <= MAX_AGE_MS ? pace : steadyPace;
}

function reportsOf(
  {sent}: ReportState,
  table: TargetLoadTable,
  samples: SampleTable,
  isReported: (target: TargetId) => boolean,
  nowMs: number,
): LoadReport[] {
  const reports: LoadReport[] = [];
  for (const [target, {bornMs, stated}] of table.rows) {
    if (!isReported(target)) continue;
    const pending = samples.pending.get(target);
    const own = pending?.bornMs === bornMs ? pending : undefined;
    const isNew = stated && isWorthSending(stated, bornMs, sent, target, nowMs);
    if (!isNew && own === undefined) continue;
    reports.push({
      target,
      bornMs,
      ageMs: isNew ? nowMs - stated.atMs : undefined,
      otherLoad: stated?.otherLoad ?? 0,
      pace: stated ? reportedPace(stated, nowMs) : 1,
      samples: own?.samples ?? 0,
      meanLog: own ? own.sumLog / own.samples : 0,
    });
  }
  return reports;
}

function encode(report: LoadReport): EncodedReport {
  const {target, bornMs, ageMs, otherLoad, pace, samples, meanLog} = report;
  return [
    target,
    bornMs,
    ageMs === undefined ? -1 : Math.round(ageMs),
    Math.round(otherLoad * PCT),
    Math.round(pace * PCT),
    Math.round(samples * 10) / 10,
    Math.round(meanLog * PCT),
  ];
}

/** Takes the reports that may be sent now, and counts their bytes. */
export function takeReports(
  state: ReportState,
  table: TargetLoadTable,
  samples: SampleTable,
  isReported: (target: TargetId) => boolean,
  nowMs: number,
): EncodedReport[] {
  refill(state, nowMs);
  const valued = reportsOf(state, table, samples, isReported, nowMs)
    .map(report => ({
      report,
      value: valueOf(report, state.sent.get(report.target), nowMs),
    }))
    .filter(({value}) => value > 0)
    .sort((a, b) => b.value - a.value);
  const taken: EncodedReport[] = [];
  let bytes = ENVELOPE_BYTES;
  for (const {report} of valued) {
    const encoded = encode(report);
    const rowBytes = JSON.stringify(encoded).length + 1;
    if (bytes + rowBytes > state.bytes) break;
    bytes += rowBytes;
    taken.push(encoded);
    markSent(state, table, samples, report, nowMs);
  }
  if (taken.length > 0) state.bytes -= bytes;
  return taken;
}

function markSent(
  {sent}: ReportState,
  {rows}: TargetLoadTable,
  samples: SampleTable,
  {target, bornMs, ageMs, pace, otherLoad}: LoadReport,
  nowMs: number,
): void {
  samples.pending.delete(target);
  const stated = rows.get(target)?.stated;
  if (ageMs === undefined || stated === undefined) return;
  const statedAtMs = stated.atMs;
  sent.set(target, {bornMs, statedAtMs, pace, otherLoad, atMs: nowMs});
}

/** Forgets a target, or after a change of leader all that was reported. */
export function forgetReported({sent}: ReportState, target?: TargetId): void {
  if (target === undefined) sent.clear();
  else sent.delete(target);
}

function isReport(value: unknown): value is EncodedReport {
  if (!Array.isArray(value)) return false;
  const [target, ...numbers] = value as unknown[];
  const areNumbers = numbers.every(
    number => typeof number === 'number' && Number.isFinite(number),
  );
  return typeof target === 'string' && numbers.length === 6 && areNumbers;
}

/** Records a report of another daemon; returns whether it could be read. */
export function learnReport(
  table: TargetLoadTable,
  encoded: unknown,
  serviceOf: (target: TargetId) => ServiceId | undefined,
  nowMs: number,
): boolean {
  if (!isReport(encoded)) return false;
  const [name, bornMs, ageMs, otherLoadPct, pacePct, samples, meanLogPct] =
    encoded;
  const target = targetId(name);
  const service = serviceOf(target);
  if (service === undefined) return false;
  const start = {target, bornMs};
  if (ageMs >= 0 && pacePct > 0) {
    const stated = {otherLoad: otherLoadPct / PCT, pace: pacePct / PCT};
    recordStatedLoad(table, start, service, stated, nowMs - ageMs);
  }
  if (samples > 0)
    recordMeasured(table, start, meanLogPct / PCT, samples, nowMs);
  return true;
}

/**
 * What targets state of themselves in their responses, as far as this entry has
 * heard. The entry sends its share of a limit: that of the target's slots which
 * the leader allocated to it.
 */
import type {IncomingHttpHeaders} from 'node:http';
import type {TargetId} from '@samphirefield/core';
import {
  beginPause,
  hearStatement,
  msUntilSend,
  pauseLeftMs,
  readStatement,
  recordSend,
  statementOf,
  type HeadValues,
  type TargetStart,
} from '@samphirefield/policy';
import type {EntryTables, EntryTarget} from './tables.js';

/** Requests a second that the target takes from all entries together. */
const LIMIT_HEADER = 'x-samphirefield-limit';
/** 1 once the target leaves. */
const LEAVING_HEADER = 'x-samphirefield-leaving';
const RETRY_AFTER_HEADER = 'retry-after';
const UNAVAILABLE_STATUS = 503;

/** The head of a target's response. */
export interface HeardHead {
  readonly target: TargetId;
  readonly incarnation: string;
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly sentAtMs: number;
}

export type HeardOutcome = 'unchanged' | 'changed' | 'invalid';

function numbersOf(headers: IncomingHttpHeaders, name: string): number[] {
  const values = [headers[name] ?? []].flat();
  return values.map(value => (value.trim() === '' ? NaN : Number(value)));
}

function headValuesOf({status, headers}: HeardHead): HeadValues {
  return {
    limitsPerS: numbersOf(headers, LIMIT_HEADER),
    leaving: numbersOf(headers, LEAVING_HEADER),
    pausesS:
      status === UNAVAILABLE_STATUS
        ? numbersOf(headers, RETRY_AFTER_HEADER)
        : [],
  };
}

function startOf({view, startNumber}: EntryTarget): TargetStart {
  return {target: view.target, bornMs: startNumber};
}

/** Records what a response says of its target. */
export function hearTarget(
  tables: EntryTables,
  head: HeardHead,
  nowMs: number,
): HeardOutcome {
  const row = tables.targets.get(head.target);
  if (row?.view.incarnation !== head.incarnation) return 'unchanged';
  const read = readStatement(headValuesOf(head));
  if (read === undefined) return 'invalid';
  const start = startOf(row);
  const {statement, pauseMs} = read;
  if (pauseMs !== undefined) beginPause(tables.pauses, start, nowMs + pauseMs);
  const isNew = hearStatement(
    tables.statements,
    start,
    statement,
    head.sentAtMs,
    nowMs,
  );
  avoidWhileStated(tables, row, nowMs);
  return isNew ? 'changed' : 'unchanged';
}

/** Whether the target said that it leaves. */
export function hasLeft(tables: EntryTables, row: EntryTarget): boolean {
  return statementOf(tables.statements, startOf(row)).isLeaving;
}

/** Counts a request that is sent to the target now. */
export function recordSending(
  tables: EntryTables,
  row: EntryTarget,
  nowMs: number,
): void {
  const {limitPerS} = statementOf(tables.statements, startOf(row));
  if (limitPerS === undefined) return;
  const share = row.allocatedSlots / Math.max(1, row.view.slots);
  const {target} = row.view;
  recordSend(tables.sendRates, target, limitPerS * share, nowMs);
  avoidWhileStated(tables, row, nowMs);
}

/** Keeps requests away until the target's pause or its limit allows one. */
function avoidWhileStated(
  tables: EntryTables,
  row: EntryTarget,
  nowMs: number,
): void {
  const {candidate} = row;
  const start = startOf(row);
  const {limitPerS} = statementOf(tables.statements, start);
  const pauseMs = pauseLeftMs(tables.pauses, start, nowMs);
  const limitMs =
    limitPerS === undefined
      ? 0
      : msUntilSend(tables.sendRates, start.target, nowMs);
  const untilMs = nowMs + Math.max(pauseMs, limitMs);
  candidate.avoidUntilMs = Math.max(candidate.avoidUntilMs, untilMs);
}

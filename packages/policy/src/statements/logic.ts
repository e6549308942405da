/**
 * Keeps what targets state of themselves. A statement belongs to one start of a
 * target and holds until that start states something else; silence does not end
 * it. The same functions serve the entry that receives a response and the leader
 * that spreads it.
 */
import type {TargetId} from '@samphirefield/core';
import type {TargetStart} from '../quarantine/index.js';
import type {
  HeadValues,
  ReadStatement,
  StatementReport,
  StatementRow,
  StatementTable,
  TargetStatement,
} from './types.js';

const MAX_ROWS = 4_096;
/** A larger limit is no limit, or a mistake. */
const MAX_LIMIT_PER_S = 1_000_000;
/** The same for rejections. */
const MAX_REJECTIONS_PER_S = 1_000_000;

/** A longer pause is a mistake. */
const MAX_PAUSE_S = 3_600;
const MS_PER_S = 1_000;

export const NOTHING_STATED: TargetStatement = {
  limitPerS: undefined,
  isLeaving: false,
};

export function createStatements(): StatementTable {
  return new Map();
}

/** Reads a value that may be named once; `invalid` unless it can be meant. */
function readOnce(
  values: readonly number[],
  isValid: (value: number) => boolean,
): number | undefined | 'invalid' {
  const [value] = values;
  if (value === undefined) return undefined;
  return values.length === 1 && isValid(value) ? value : 'invalid';
}

/** Undefined if the head names something that cannot be meant. */
export function readStatement({
  limitsPerS,
  leaving,
  pausesS,
  maxRejectionsPerS = [],
}: HeadValues): ReadStatement | undefined {
  const limitPerS = readOnce(
    limitsPerS,
    value => value > 0 && value <= MAX_LIMIT_PER_S,
  );
  const leavingValue = readOnce(leaving, value => value === 0 || value === 1);
  const pauseS = readOnce(pausesS, value => value >= 0 && value <= MAX_PAUSE_S);
  const rejectionsPerS = readOnce(
    maxRejectionsPerS,
    value => value >= 0 && value <= MAX_REJECTIONS_PER_S,
  );
  const isInvalid =
    limitPerS === 'invalid' ||
    leavingValue === 'invalid' ||
    pauseS === 'invalid' ||
    rejectionsPerS === 'invalid';
  if (isInvalid) return undefined;
  return {
    statement: {
      limitPerS,
      isLeaving: leavingValue === 1,
      ...(rejectionsPerS !== undefined && {maxRejectionsPerS: rejectionsPerS}),
    },
    pauseMs: pauseS && pauseS * MS_PER_S,
  };
}

function isSame(a: TargetStatement, b: TargetStatement): boolean {
  return (
    a.limitPerS === b.limitPerS &&
    a.isLeaving === b.isLeaving &&
    a.maxRejectionsPerS === b.maxRejectionsPerS
  );
}

/** Whether the second statement ends something that the first holds. */
function endsPartOf(a: TargetStatement, b: TargetStatement): boolean {
  const endsLimit = a.limitPerS !== undefined && b.limitPerS === undefined;
  const endsBrittleness =
    a.maxRejectionsPerS !== undefined && b.maxRejectionsPerS === undefined;
  return endsLimit || endsBrittleness || (a.isLeaving && !b.isLeaving);
}

/**
 * Records the statement of a response. Responses may overtake each other, so one
 * to a request that was sent before the recorded statement was received cannot
 * end it. Returns whether the statement is new.
 */
export function hearStatement(
  table: StatementTable,
  {target, bornMs}: TargetStart,
  statement: TargetStatement,
  sentAtMs: number,
  nowMs: number,
): boolean {
  const known = table.get(target);
  if (known && known.bornMs > bornMs) return false;
  const current = known?.bornMs === bornMs ? known : undefined;
  if (isSame(current?.statement ?? NOTHING_STATED, statement)) return false;
  const mayBeOlder = current !== undefined && sentAtMs < current.statedAtMs;
  if (mayBeOlder && endsPartOf(current.statement, statement)) return false;
  setRow(table, target, {bornMs, statement, statedAtMs: nowMs});
  return true;
}

/** Records what another daemon received, unless a newer statement is known. */
export function learnStatement(
  table: StatementTable,
  {start, statement, ageMs}: StatementReport,
  nowMs: number,
): boolean {
  const {target, bornMs} = start;
  const known = table.get(target);
  const statedAtMs = nowMs - ageMs;
  if (known && known.bornMs > bornMs) return false;
  const isOfStart = known?.bornMs === bornMs;
  if (isOfStart && known.statedAtMs >= statedAtMs) return false;
  const recorded = isOfStart ? known.statement : NOTHING_STATED;
  const isKept = setRow(table, target, {bornMs, statement, statedAtMs});
  return isKept && !isSame(recorded, statement);
}

/** Whether no newer statement than the report's is known of its target. */
export function isNewest(
  table: StatementTable,
  {start, statement}: StatementReport,
): boolean {
  return isSame(statementOf(table, start), statement);
}

/** Returns whether a full table has kept the row. */
function setRow(
  table: StatementTable,
  target: TargetId,
  row: StatementRow,
): boolean {
  table.set(target, row);
  if (table.size > MAX_ROWS) table.delete(oldestOf(table)!);
  return table.has(target);
}

/** The target whose statement is the oldest; rows are learned in any order. */
function oldestOf(table: StatementTable): TargetId | undefined {
  let oldest: TargetId | undefined;
  let leastMs = Number.POSITIVE_INFINITY;
  for (const [target, {statedAtMs}] of table) {
    if (statedAtMs >= leastMs) continue;
    oldest = target;
    leastMs = statedAtMs;
  }
  return oldest;
}

/** What this start of a target states. */
export function statementOf(
  table: StatementTable,
  {target, bornMs}: TargetStart,
): TargetStatement {
  const row = table.get(target);
  return row?.bornMs === bornMs ? row.statement : NOTHING_STATED;
}

/** All statements, the oldest first: a later one may end an earlier one. */
export function statementReports(
  table: StatementTable,
  nowMs: number,
): StatementReport[] {
  return [...table]
    .sort(([, a], [, b]) => a.statedAtMs - b.statedAtMs)
    .map(([target, {bornMs, statement, statedAtMs}]) => ({
      start: {target, bornMs},
      statement,
      ageMs: nowMs - statedAtMs,
    }));
}

/** The ledger's table, oldest update first, with what its bounds need. */
import type {LedgerRecord} from './types.js';

export interface LedgerTable {
  /** In order of the last update. */
  readonly records: Map<string, LedgerRecord>;
  readonly keysByHolder: Map<string, Set<string>>;
  /** Bytes of each kept answer, oldest first. */
  readonly answerBytes: Map<string, number>;
  totalAnswerBytes: number;
}

export function createLedger(): LedgerTable {
  return {
    records: new Map(),
    keysByHolder: new Map(),
    answerBytes: new Map(),
    totalAnswerBytes: 0,
  };
}

function unlink(table: LedgerTable, key: string): void {
  const record = table.records.get(key);
  if (record === undefined) return;
  const keys = table.keysByHolder.get(record.holder);
  keys?.delete(key);
  if (keys?.size === 0) table.keysByHolder.delete(record.holder);
  table.totalAnswerBytes -= table.answerBytes.get(key) ?? 0;
  table.answerBytes.delete(key);
  table.records.delete(key);
}

/** Inserts or replaces a record as the newest one. */
export function putRecord(
  table: LedgerTable,
  key: string,
  record: LedgerRecord,
): void {
  unlink(table, key);
  table.records.set(key, record);
  if (record.state === 'claimed') {
    const keys = table.keysByHolder.get(record.holder) ?? new Set();
    keys.add(key);
    table.keysByHolder.set(record.holder, keys);
  }
  if (record.answer) {
    const bytes = record.answer.bodyBase64.length;
    table.answerBytes.set(key, bytes);
    table.totalAnswerBytes += bytes;
  }
}

/** Drops the oldest answers, but not their records, until the rest fits. */
export function dropOldAnswers(table: LedgerTable, maxBytes: number): void {
  for (const [key, bytes] of table.answerBytes) {
    if (table.totalAnswerBytes <= maxBytes) return;
    const record = table.records.get(key)!;
    table.records.set(key, {...record, answer: undefined});
    table.answerBytes.delete(key);
    table.totalAnswerBytes -= bytes;
  }
}

/** Removes finished records older than `beforeMs`, from the oldest on. */
export function expireRecords(table: LedgerTable, beforeMs: number): void {
  for (const [key, record] of table.records) {
    if (record.updatedAtMs >= beforeMs) return;
    if (record.state === 'claimed') {
      putRecord(table, key, {
        ...record,
        state: 'unknown',
        updatedAtMs: beforeMs,
      });
    } else {
      unlink(table, key);
    }
  }
}

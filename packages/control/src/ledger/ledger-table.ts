/**
 * The ledger's records in update order, with the totals that its limits are
 * checked against.
 */
import type {LedgerRecord} from './types.js';

export interface LedgerTable {
  /** Ordered by last update, oldest first. */
  readonly records: Map<string, LedgerRecord>;
  readonly keysByHolder: Map<string, Set<string>>;
  /** Bytes of each stored response body in base64, oldest first. */
  readonly responseBytes: Map<string, number>;
  totalResponseBytes: number;
}

export function createLedger(): LedgerTable {
  return {
    records: new Map(),
    keysByHolder: new Map(),
    responseBytes: new Map(),
    totalResponseBytes: 0,
  };
}

function removeRecord(table: LedgerTable, key: string): void {
  const record = table.records.get(key);
  if (record === undefined) return;
  const keys = table.keysByHolder.get(record.holder);
  keys?.delete(key);
  if (keys?.size === 0) table.keysByHolder.delete(record.holder);
  table.totalResponseBytes -= table.responseBytes.get(key) ?? 0;
  table.responseBytes.delete(key);
  table.records.delete(key);
}

/** Inserts or replaces a record as the newest one. */
export function putRecord(
  table: LedgerTable,
  key: string,
  record: LedgerRecord,
): void {
  removeRecord(table, key);
  table.records.set(key, record);
  if (record.state === 'claimed') {
    const keys = table.keysByHolder.get(record.holder) ?? new Set();
    keys.add(key);
    table.keysByHolder.set(record.holder, keys);
  }
  if (record.answer) {
    const bytes = record.answer.bodyBase64.length;
    table.responseBytes.set(key, bytes);
    table.totalResponseBytes += bytes;
  }
}

/**
 * Drops the oldest stored responses, but not their records, until at most
 * `maxBytes` remain.
 */
export function dropOldResponses(table: LedgerTable, maxBytes: number): void {
  for (const [key, bytes] of table.responseBytes) {
    if (table.totalResponseBytes <= maxBytes) return;
    const record = table.records.get(key)!;
    table.records.set(key, {...record, answer: undefined});
    table.responseBytes.delete(key);
    table.totalResponseBytes -= bytes;
  }
}

/**
 * Removes finished records last updated before `beforeMs`, oldest first. Claims
 * that old become unknown.
 */
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
      removeRecord(table, key);
    }
  }
}

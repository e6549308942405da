/**
 * Follows cache events, which come late and with gaps. They are hints: a gap
 * in the numbers voids all that was known of the target's cache.
 */
import type {CacheEvent, TargetId} from '@samphirefield/core';
import type {CacheRow, CacheTable} from './types.js';

const MAX_PREFIXES_PER_TARGET = 4_096;

export function createCacheTable(): CacheTable {
  return {rows: new Map(), targetsByPrefix: new Map()};
}

function store(
  table: CacheTable,
  target: TargetId,
  row: CacheRow,
  prefix: string,
): void {
  row.prefixes.add(prefix);
  const targets = table.targetsByPrefix.get(prefix) ?? new Set();
  targets.add(target);
  table.targetsByPrefix.set(prefix, targets);
}

function evict(
  table: CacheTable,
  target: TargetId,
  row: CacheRow,
  prefix: string,
): void {
  row.prefixes.delete(prefix);
  const targets = table.targetsByPrefix.get(prefix);
  targets?.delete(target);
  if (targets?.size === 0) table.targetsByPrefix.delete(prefix);
}

export function recordCacheEvents(
  table: CacheTable,
  target: TargetId,
  firstSeq: number,
  events: readonly CacheEvent[],
): void {
  const known = table.rows.get(target);
  const isGap = known === undefined || firstSeq > known.nextSeq;
  if (isGap) forgetTarget(table, target);
  const row = isGap ? {nextSeq: firstSeq, prefixes: new Set<string>()} : known;
  table.rows.set(target, row);
  const firstNew = row.nextSeq - firstSeq;
  for (const event of events.slice(firstNew)) {
    evict(table, target, row, event.prefix);
    if (event.kind === 'stored') store(table, target, row, event.prefix);
    row.nextSeq += 1;
  }
  for (const oldest of row.prefixes) {
    if (row.prefixes.size <= MAX_PREFIXES_PER_TARGET) break;
    evict(table, target, row, oldest);
  }
}

export function forgetTarget(table: CacheTable, target: TargetId): void {
  const row = table.rows.get(target);
  if (row === undefined) return;
  for (const prefix of [...row.prefixes]) evict(table, target, row, prefix);
  table.rows.delete(target);
}

/** The targets that are said to hold a prefix. */
export function targetsWithPrefix(
  table: CacheTable,
  prefix: string,
): ReadonlySet<TargetId> | undefined {
  return table.targetsByPrefix.get(prefix);
}

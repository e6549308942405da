/**
 * Tracks which targets have a prompt prefix in their cache, from the targets'
 * cache events. Events arrive late and with gaps, so the result is only a hint.
 * A gap in the sequence numbers clears the target's row.
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

/**
 * Applies a batch of events, of which the first has the number `firstSeq`.
 * Events that were already applied are skipped. The oldest prefixes above the
 * limit are evicted.
 */
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

/** Returns the targets that reported a prefix in their cache. */
export function targetsWithPrefix(
  table: CacheTable,
  prefix: string,
): ReadonlySet<TargetId> | undefined {
  return table.targetsByPrefix.get(prefix);
}

/**
 * Follows cache events, which come late and with gaps. They are hints: a gap
 * in the numbers voids all that was known of the target's cache.
 */
import type {CacheEvent, TargetId} from '@samphirefield/core';
import type {CacheTable} from './types.js';

const MAX_PREFIXES_PER_TARGET = 4_096;

export function recordCacheEvents(
  table: CacheTable,
  target: TargetId,
  firstSeq: number,
  events: readonly CacheEvent[],
): void {
  const known = table.get(target);
  const isGap = known === undefined || firstSeq > known.nextSeq;
  const row = isGap ? {nextSeq: firstSeq, prefixes: new Set<string>()} : known;
  table.set(target, row);
  const firstNew = row.nextSeq - firstSeq;
  for (const event of events.slice(firstNew)) {
    row.prefixes.delete(event.prefix);
    if (event.kind === 'stored') row.prefixes.add(event.prefix);
    row.nextSeq += 1;
  }
  for (const oldest of row.prefixes) {
    if (row.prefixes.size <= MAX_PREFIXES_PER_TARGET) break;
    row.prefixes.delete(oldest);
  }
}

export function forgetTarget(table: CacheTable, target: TargetId): void {
  table.delete(target);
}

export function holdsPrefix(
  table: CacheTable,
  target: TargetId,
  prefix: string,
): boolean {
  return table.get(target)?.prefixes.has(prefix) ?? false;
}

/**
 * Merging of announcements. The newest start of a target wins, and within one
 * start the highest sequence; so late and repeated announcements, in any order
 * and through any daemon, lead to the same table.
 */
import type {TargetId} from '@samphirefield/core';
import type {TargetAnnouncement, TargetRecord, TargetTable} from './types.js';

/** What an announcement changed in the table. */
export type MergeOutcome =
  /** Older than what is known: dropped. */
  | 'stale'
  /** The target lives; nothing else is new. */
  | 'renewed'
  /** It is new, started again, moved, or changed its state. */
  | 'changed';

function isNewer(next: TargetAnnouncement, known: TargetAnnouncement): boolean {
  if (next.bornMs !== known.bornMs) return next.bornMs > known.bornMs;
  // What has left stays gone for this start of the target.
  if (known.state === 'gone') return false;
  if (next.state === 'gone') return true;
  return next.sequence > known.sequence;
}

function isSameExceptTiming(
  a: TargetAnnouncement,
  b: TargetAnnouncement,
): boolean {
  return (
    a.bornMs === b.bornMs &&
    a.service === b.service &&
    a.host === b.host &&
    a.port === b.port &&
    a.zone === b.zone &&
    a.slots === b.slots &&
    a.state === b.state &&
    a.coldLeftMs > 0 === b.coldLeftMs > 0
  );
}

/** Takes a target's own announcement, heard `ageMs` ago by another daemon. */
export function mergeAnnouncement(
  table: TargetTable,
  next: TargetAnnouncement,
  nowMs: number,
  ageMs = 0,
): MergeOutcome {
  const known = table.get(next.id);
  if (known && !isNewer(next, known.announcement)) return 'stale';
  const heardAtMs = nowMs - ageMs;
  const record: TargetRecord = {
    announcement: next,
    lastSeenAtMs: heardAtMs,
    coldUntilMs: heardAtMs + next.coldLeftMs,
  };
  table.set(next.id, record);
  if (next.state === 'ready') markAddressPredecessorsGone(table, next);
  return known && isSameExceptTiming(known.announcement, next)
    ? 'renewed'
    : 'changed';
}

/**
 * A target that announces an address proves that its earlier holder is gone.
 */
function markAddressPredecessorsGone(
  table: TargetTable,
  next: TargetAnnouncement,
): void {
  for (const [id, {announcement: other, ...recordRest}] of table) {
    const sharesAddress = other.host === next.host && other.port === next.port;
    const isOlder = other.bornMs < next.bornMs;
    if (id === next.id || !sharesAddress || !isOlder) continue;
    if (other.state === 'gone') continue;
    table.set(id, {...recordRest, announcement: {...other, state: 'gone'}});
  }
}

/** Marks a target as gone at its own word, which carries no sequence. */
export function markGone(
  table: TargetTable,
  id: TargetId,
): TargetAnnouncement | undefined {
  const known = table.get(id);
  if (known === undefined) return undefined;
  const gone: TargetAnnouncement = {
    ...known.announcement,
    sequence: known.announcement.sequence + 1,
    state: 'gone',
  };
  table.set(id, {...known, announcement: gone});
  return gone;
}

/** Forgets targets that were not heard for long; returns them. */
export function removeExpired(
  table: TargetTable,
  nowMs: number,
  forgetMs: number,
  mayForget: (record: TargetRecord) => boolean = () => true,
): TargetId[] {
  const old = [...table.values()]
    .filter(
      record => nowMs - record.lastSeenAtMs > forgetMs && mayForget(record),
    )
    .map(record => record.announcement.id);
  for (const id of old) table.delete(id);
  return old;
}

/**
 * Merges announcements into the table of targets. The newest incarnation of a
 * target wins, and within an incarnation the highest sequence. So late and
 * repeated announcements, in any order and through any daemon, lead to the same
 * table.
 */
import type {TargetId} from '@samphirefield/core';
import type {TargetAnnouncement, TargetRecord, TargetTable} from './types.js';

/** What an announcement changed in the table. */
export type MergeOutcome =
  /** The announcement is older than the recorded one and was dropped. */
  | 'stale'
  /** The target is alive; nothing else changed. */
  | 'renewed'
  /** The target is new, has restarted, or changed its address or state. */
  | 'changed';

/** After these a target lives whose address another one announced. */
const MIN_SIGNS = 4;
const MIN_SIGNS_SPAN_MS = 2_000;

function isNewer(
  next: TargetAnnouncement,
  recorded: TargetAnnouncement,
): boolean {
  if (next.bornMs !== recorded.bornMs) return next.bornMs > recorded.bornMs;
  // A target that is gone stays gone for this incarnation.
  if (recorded.state === 'gone') return false;
  if (next.state === 'gone') return true;
  return next.sequence > recorded.sequence;
}

/**
 * Counts the announcements of a target whose address another one announced.
 * Late ones of a target that crashed are few and come together. Returns whether
 * the target lives after all, so that the other entry was wrong.
 */
function noteSignOfLife(
  table: TargetTable,
  recorded: TargetRecord,
  next: TargetAnnouncement,
  nowMs: number,
): boolean {
  const {announcement, signsOfLife: known} = recorded;
  const wasReplaced = announcement.hasCrashed !== undefined;
  const lastSequence = known?.sequence ?? announcement.sequence;
  const isSign =
    wasReplaced &&
    next.bornMs === announcement.bornMs &&
    next.state === 'ready' &&
    next.sequence > lastSequence;
  if (!isSign) return false;
  const signsOfLife = {
    count: (known?.count ?? 0) + 1,
    firstAtMs: known?.firstAtMs ?? nowMs,
    sequence: next.sequence,
  };
  table.set(announcement.id, {...recorded, signsOfLife});
  const spanMs = nowMs - signsOfLife.firstAtMs;
  return signsOfLife.count >= MIN_SIGNS && spanMs >= MIN_SIGNS_SPAN_MS;
}

function isSameExceptTiming(
  a: TargetAnnouncement,
  b: TargetAnnouncement,
): boolean {
  return (
    a.bornMs === b.bornMs &&
    a.service === b.service &&
    a.version === b.version &&
    a.host === b.host &&
    a.port === b.port &&
    a.zone === b.zone &&
    a.slots === b.slots &&
    a.state === b.state &&
    a.coldLeftMs > 0 === b.coldLeftMs > 0
  );
}

/**
 * Merges an announcement that a daemon received from the target `ageMs` ago.
 * Calls `onReplaced` for each target that it shows to be gone.
 */
export function mergeAnnouncement(
  table: TargetTable,
  next: TargetAnnouncement,
  nowMs: number,
  ageMs = 0,
  onReplaced: (record: TargetRecord) => void = () => undefined,
): MergeOutcome {
  const recorded = table.get(next.id);
  const isLiving = recorded && noteSignOfLife(table, recorded, next, nowMs);
  if (recorded && !isLiving && !isNewer(next, recorded.announcement))
    return 'stale';
  const lastSeenAtMs = nowMs - ageMs;
  const signsOfLife = table.get(next.id)?.signsOfLife;
  const isSameStart = recorded?.announcement.bornMs === next.bornMs;
  const record: TargetRecord = {
    announcement: next,
    lastSeenAtMs,
    coldUntilMs: lastSeenAtMs + next.coldLeftMs,
    ...(isSameStart && signsOfLife && {signsOfLife}),
  };
  table.set(next.id, record);
  if (next.state === 'ready') {
    for (const earlier of findAddressPredecessors(table, next)) {
      const announcement: TargetAnnouncement = {
        ...earlier.announcement,
        state: 'gone',
        hasCrashed: earlier.announcement.state === 'ready',
      };
      const replaced: TargetRecord = {...earlier, announcement};
      table.set(announcement.id, replaced);
      onReplaced(replaced);
    }
  }
  return recorded && isSameExceptTiming(recorded.announcement, next)
    ? 'renewed'
    : 'changed';
}

/**
 * Older targets at the announced address: the announcement proves that they do
 * not use it any more.
 */
function findAddressPredecessors(
  table: TargetTable,
  next: TargetAnnouncement,
): TargetRecord[] {
  return [...table.values()].filter(({announcement: earlier, signsOfLife}) => {
    if ((signsOfLife?.count ?? 0) >= MIN_SIGNS) return false;
    const sharesAddress =
      earlier.host === next.host && earlier.port === next.port;
    const isOlder = earlier.bornMs < next.bornMs;
    const isOther = earlier.id !== next.id;
    return isOther && sharesAddress && isOlder && earlier.state !== 'gone';
  });
}

/**
 * Marks a target as gone after its deregistration, which carries no sequence.
 * Returns the new announcement; undefined if the target is unknown.
 */
export function markGone(
  table: TargetTable,
  id: TargetId,
): TargetAnnouncement | undefined {
  const recorded = table.get(id);
  if (recorded === undefined) return undefined;
  const gone: TargetAnnouncement = {
    ...recorded.announcement,
    sequence: recorded.announcement.sequence + 1,
    state: 'gone',
  };
  table.set(id, {...recorded, announcement: gone});
  return gone;
}

/** Removes targets last seen more than `forgetMs` ago; returns their ids. */
export function removeExpired(
  table: TargetTable,
  nowMs: number,
  forgetMs: number,
  mayForget: (record: TargetRecord) => boolean = () => true,
): TargetId[] {
  const expired = [...table.values()]
    .filter(
      record => nowMs - record.lastSeenAtMs > forgetMs && mayForget(record),
    )
    .map(record => record.announcement.id);
  for (const id of expired) table.delete(id);
  return expired;
}

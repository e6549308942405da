/**
 * Finds attempts that have been in progress for longer than they should: a target
 * that never responds produces no bad responses.
 */
import type {TargetId} from '@samphirefield/core';
import {responsesOf, type Counts, type RouteCounts} from './evidence.js';

/** Attempts that were sent longer ago are taken together. */
const HISTORY_MS = 15_000;
/** No attempt is overdue before this time, however fast the old version is. */
const MIN_OVERDUE_MS = 400;
/** The usual share of overdue attempts is that of attempts sent in this time. */
const COMPARED_MS = 5_000;

interface Point {
  readonly atMs: number;
  readonly sent: number;
}

interface Progress {
  sent: number;
  ended: number;
  /** Sums of attempts at each decision, while some are in progress. */
  readonly history: Point[];
}

interface RoutePending {
  readonly old: Progress;
  readonly byTarget: Map<TargetId, Progress>;
}

export type PendingTable = Map<string, RoutePending>;

const createProgress = (): Progress => ({sent: 0, ended: 0, history: []});

function add(progress: Progress, counts: Counts): void {
  progress.sent += counts.sent;
  progress.ended += responsesOf(counts) + counts.abandoned;
}

function note({ended, history, sent}: Progress, nowMs: number): void {
  history.push({atMs: nowMs, sent});
  const startMs = nowMs - HISTORY_MS;
  const isOld = () => history.length > 1 && history[1]!.atMs <= startMs;
  while (isOld()) history.shift();
  // Nothing in progress can become overdue.
  if (ended >= sent) history.splice(0, history.length - 1);
}

export function addPending(
  table: PendingTable,
  fresh: ReadonlyMap<string, RouteCounts>,
  nowMs: number,
): void {
  for (const [route, counts] of fresh) {
    const pending = table.get(route) ?? {
      old: createProgress(),
      byTarget: new Map<TargetId, Progress>(),
    };
    table.set(route, pending);
    add(pending.old, counts.old);
    for (const [target, ofTarget] of counts.byTarget) {
      const progress = pending.byTarget.get(target) ?? createProgress();
      add(progress, ofTarget);
      pending.byTarget.set(target, progress);
    }
  }
  for (const {old, byTarget} of table.values()) {
    note(old, nowMs);
    for (const progress of byTarget.values()) note(progress, nowMs);
  }
}

function sentBy({history}: Progress, atMs: number): number {
  return history.findLast(item => item.atMs <= atMs)?.sent ?? 0;
}

interface Overdue {
  readonly overdue: number;
  readonly compared: number;
}

function overdueOf(progress: Progress, beforeMs: number): Overdue {
  const sent = sentBy(progress, beforeMs);
  const compared = sent - sentBy(progress, beforeMs - COMPARED_MS);
  return {overdue: Math.max(0, sent - progress.ended), compared};
}

/**
 * Overdue attempts of a route by target, less as many as the old version would
 * have. `usualMs` is what nearly all attempts of the old version take there.
 */
export function overdueAttempts(
  table: PendingTable,
  route: string,
  usualMs: number | undefined,
  nowMs: number,
): Map<TargetId, number> {
  const result = new Map<TargetId, number>();
  const pending = table.get(route);
  if (!pending || usualMs === undefined) return result;
  const limitMs = Math.max(MIN_OVERDUE_MS, usualMs);
  const beforeMs = nowMs - Math.min(limitMs, HISTORY_MS - COMPARED_MS);
  const old = overdueOf(pending.old, beforeMs);
  const usualShare = old.overdue / Math.max(1, old.compared);
  for (const [target, progress] of pending.byTarget) {
    const {overdue, compared} = overdueOf(progress, beforeMs);
    const excess = overdue - usualShare * compared;
    if (excess > 0) result.set(target, excess);
  }
  return result;
}

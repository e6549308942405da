/**
 * Finds attempts that have been in progress for longer than they should: a target
 * that never responds produces no bad responses.
 */
import type {TargetId} from '@samphirefield/core';
import {responsesOf, type Counts, type RouteCounts} from './evidence.js';

/** Attempts sent longer ago are all overdue, or were all sent long before. */
const HISTORY_MS = 15_000;
const MIN_OVERDUE_MS = 500;
/** Attempts in this time before the overdue ones tell what is usual. */
const COMPARED_MS = 5_000;

interface Point {
  readonly atMs: number;
  readonly sent: number;
}

interface Progress {
  sent: number;
  ended: number;
  readonly history: Point[];
}

export interface PendingTable {
  readonly old: Progress;
  readonly byTarget: Map<TargetId, Progress>;
}

const createProgress = (): Progress => ({sent: 0, ended: 0, history: []});

export function createPending(): PendingTable {
  return {old: createProgress(), byTarget: new Map()};
}

function add(progress: Progress, counts: Counts): void {
  progress.sent += counts.sent;
  progress.ended += responsesOf(counts) + counts.abandoned;
}

function note(progress: Progress, nowMs: number): void {
  progress.history.push({atMs: nowMs, sent: progress.sent});
  while (progress.history[0]!.atMs < nowMs - HISTORY_MS)
    progress.history.shift();
}

export function addPending(
  table: PendingTable,
  fresh: ReadonlyMap<string, RouteCounts>,
  nowMs: number,
): void {
  for (const {old, byTarget} of fresh.values()) {
    add(table.old, old);
    for (const [target, counts] of byTarget) {
      const progress = table.byTarget.get(target) ?? createProgress();
      add(progress, counts);
      table.byTarget.set(target, progress);
    }
  }
  note(table.old, nowMs);
  for (const progress of table.byTarget.values()) note(progress, nowMs);
}

function sentBy({history}: Progress, atMs: number): number {
  const point = history.findLast(item => item.atMs <= atMs);
  return point?.sent ?? 0;
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

/** Overdue attempts by target, less as many as the old version would have. */
export function overdueAttempts(
  table: PendingTable,
  usualMs: number | undefined,
  nowMs: number,
): Map<TargetId, number> {
  const limitMs = Math.max(MIN_OVERDUE_MS, usualMs ?? 0);
  const beforeMs = nowMs - Math.min(limitMs, HISTORY_MS - COMPARED_MS);
  const old = overdueOf(table.old, beforeMs);
  const usualShare = old.overdue / Math.max(1, old.compared);
  const result = new Map<TargetId, number>();
  for (const [target, progress] of table.byTarget) {
    const {overdue, compared} = overdueOf(progress, beforeMs);
    const excess = overdue - usualShare * compared;
    if (excess > 0) result.set(target, excess);
  }
  return result;
}

/**
 * Collects what entries report. Reports are cumulative sums, so a lost or repeated
 * report changes nothing; what is new in them is kept until the judge takes it.
 */
import type {TargetId} from '@samphirefield/core';
import {LATENCY_BUCKETS} from './latency.js';
import type {EvidenceRow, RolloutEvidence} from './types.js';

/**
 * Rows that are remembered: 64 for each of 550 entries. Above it nothing more is
 * granted, since requests sent could no longer be counted.
 */
const MAX_ROWS = 35_200;
/** Entries in contact report at shorter intervals than this. */
const CONTACT_MS = 500;
/** Stands for the targets of rows that an entry no longer tells apart. */
const ANY_TARGET = '' as TargetId;

/** What happened since the last decision, on one route and one target. */
export interface Counts {
  sent: number;
  bad: number;
  abandoned: number;
  readonly latency: number[];
}

export interface RouteCounts {
  readonly old: Counts;
  readonly byTarget: Map<TargetId, Counts>;
}

interface LastSeen {
  readonly requests: number;
  readonly atMs: number;
}

export interface EvidenceBook {
  seenRequests: number;
  /** Attempts sent to the new version. */
  sentRequests: number;
  /** Whether there were more rows than can be remembered. */
  isFull: boolean;
  /** Requests that arrived since the rate was measured last. */
  arrived: number;
  /** When the last decision was taken. */
  decidedAtMs: number;
  readonly lastSeen: Map<string, LastSeen>;
  readonly lastRows: Map<string, EvidenceRow>;
  fresh: Map<string, RouteCounts>;
}

export function createEvidenceBook(nowMs: number): EvidenceBook {
  return {
    seenRequests: 0,
    sentRequests: 0,
    isFull: false,
    arrived: 0,
    decidedAtMs: nowMs,
    lastSeen: new Map(),
    lastRows: new Map(),
    fresh: new Map(),
  };
}

export function createCounts(): Counts {
  const latency = new Array<number>(LATENCY_BUCKETS).fill(0);
  return {sent: 0, bad: 0, abandoned: 0, latency};
}

const increase = (value: number, last = 0): number => Math.max(0, value - last);

/** Adds what the row holds above the last one of the same key. */
function addIncrease(
  counts: Counts,
  row: EvidenceRow,
  last: EvidenceRow | undefined,
): void {
  counts.sent += increase(row.sentRequests, last?.sentRequests);
  counts.bad += increase(row.badResponses, last?.badResponses);
  counts.abandoned += increase(row.abandonedRequests, last?.abandonedRequests);
  row.latencyCounts.slice(0, LATENCY_BUCKETS).forEach((count, bucket) => {
    counts.latency[bucket]! += increase(count, last?.latencyCounts[bucket]);
  });
}

function countsOf(book: EvidenceBook, {route, side, target}: EvidenceRow) {
  const known = book.fresh.get(route);
  const routeCounts = known ?? {old: createCounts(), byTarget: new Map()};
  if (!known) book.fresh.set(route, routeCounts);
  if (side === 'old') return routeCounts.old;
  const id = target ?? ANY_TARGET;
  const counts = routeCounts.byTarget.get(id) ?? createCounts();
  routeCounts.byTarget.set(id, counts);
  return counts;
}

function addRow(book: EvidenceBook, holder: string, row: EvidenceRow): void {
  const {route, side, target} = row;
  const key = JSON.stringify([holder, side, route, target]);
  const last = book.lastRows.get(key);
  if (!last && book.lastRows.size >= MAX_ROWS) {
    book.isFull = true;
    return;
  }
  addIncrease(countsOf(book, row), row, last);
  if (side === 'new')
    book.sentRequests += increase(row.sentRequests, last?.sentRequests);
  // A report that was overtaken must not lower what is remembered.
  if (!last || row.sentRequests >= last.sentRequests)
    book.lastRows.set(key, row);
}

/**
 * Part of the newly reported requests that counts for the rate of requests. Those
 * that an entry saw while it was out of contact, or before this judge was created,
 * may have arrived long ago.
 */
function recentPart(last: LastSeen | undefined, nowMs: number): number {
  if (!last) return 0;
  return Math.min(1, CONTACT_MS / Math.max(1, nowMs - last.atMs));
}

export function addEvidence(
  book: EvidenceBook,
  {entry, incarnation, seenRequests, rows}: RolloutEvidence,
): void {
  const holder = `${entry} ${incarnation}`;
  const last = book.lastSeen.get(holder);
  const arrived = increase(seenRequests, last?.requests);
  book.seenRequests += arrived;
  book.arrived += arrived * recentPart(last, book.decidedAtMs);
  const requests = Math.max(seenRequests, last?.requests ?? 0);
  book.lastSeen.set(holder, {requests, atMs: book.decidedAtMs});
  for (const row of rows) addRow(book, holder, row);
}

/** Takes what was reported since the last call. */
export function takeFresh(book: EvidenceBook): Map<string, RouteCounts> {
  const {fresh} = book;
  book.fresh = new Map();
  return fresh;
}

/** Sound and bad responses. */
export function responsesOf({bad, latency}: Counts): number {
  return latency.reduce((sum, count) => sum + count, bad);
}

/** Attempts by target, over all routes. */
export function sentByTarget(
  fresh: ReadonlyMap<string, RouteCounts>,
): Map<TargetId, number> {
  const sums = new Map<TargetId, number>();
  for (const {byTarget} of fresh.values()) {
    for (const [target, {sent}] of byTarget)
      sums.set(target, (sums.get(target) ?? 0) + sent);
  }
  return sums;
}

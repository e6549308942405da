/**
 * Judges from connections which targets a process can reach. One failed
 * connection makes a start of a target unreachable until a probe connects, which
 * begins at once: a false suspicion lasts for one round trip. A request without
 * a byte of a response only suspects its target, and the probe decides. Refused
 * connections say nothing of those that are open, which may go on.
 */
import type {TargetId} from '@samphirefield/core';
import type {TargetStart} from '../quarantine/index.js';
import type {
  KeptConnections,
  ReachabilityRow,
  ReachabilityTable,
  UnreachableReason,
} from './types.js';

const MAX_ROWS = 4_096;
const FIRST_PROBE_DELAY_MS = 250;
const MAX_PROBE_DELAY_MS = 2_000;
const FIRST_PROBE_TIMEOUT_MS = 400;
const MAX_PROBE_TIMEOUT_MS = 1_600;
/** Others that are suspected after a target failed its first probe. */
const SUSPECTS_PER_FAILURE = 8;
/** A target that sent something so recently needs no probe. */
const RECENT_MS = 1_000;

/** A probe that is to be made. */
export interface DueProbe {
  readonly start: TargetStart;
  readonly timeoutMs: number;
}

export function createReachability(): ReachabilityTable {
  return new Map();
}

/** Doubles from the first to the last value. */
function backoffMs(firstMs: number, maxMs: number, times: number): number {
  return Math.min(maxMs, firstMs * 2 ** times);
}

function rowOf(
  table: ReachabilityTable,
  {target, bornMs}: TargetStart,
): ReachabilityRow | undefined {
  const row = table.get(target);
  return row?.bornMs === bornMs ? row : undefined;
}

function setRow(
  table: ReachabilityTable,
  target: TargetId,
  row: ReachabilityRow,
): void {
  table.set(target, row);
  const [oldest] = table.keys();
  if (table.size > MAX_ROWS) table.delete(oldest!);
}

/** Until when what kept connections received proves nothing. */
function keptAfterMs(reason: UnreachableReason, nowMs: number): number {
  return reason === 'refused' ? Number.NEGATIVE_INFINITY : nowMs;
}

/** Records a failed connection, or a request without a response. */
export function noteUnreachable(
  table: ReachabilityTable,
  start: TargetStart,
  reason: UnreachableReason,
  nowMs: number,
): void {
  const {target, bornMs} = start;
  const known = table.get(target);
  if (known && known.bornMs > bornMs) return;
  const isSuspicion = reason === 'silent';
  const current = known?.bornMs === bornMs ? known : undefined;
  const row = current ?? {
    bornMs,
    sinceMs: nowMs,
    reason,
    failures: 0,
    failedProbes: 0,
    probeAtMs: nowMs,
    isProbing: false,
    keptAfterMs: Number.NEGATIVE_INFINITY,
  };
  setRow(table, target, {
    ...row,
    reason: isSuspicion ? row.reason : reason,
    failures: row.failures + (isSuspicion ? 0 : 1),
    keptAfterMs: Math.max(row.keptAfterMs, keptAfterMs(reason, nowMs)),
  });
}

/** A connection to the start was made. */
export function noteConnected(
  table: ReachabilityTable,
  {target, bornMs}: TargetStart,
): void {
  const known = table.get(target);
  if (known && known.bornMs <= bornMs) table.delete(target);
}

/**
 * Whether connections to the start are silent. One that refuses may go on to
 * serve those that are open.
 */
export function isLost(table: ReachabilityTable, start: TargetStart): boolean {
  const row = rowOf(table, start);
  return row !== undefined && row.failures > 0 && row.reason === 'timeout';
}

/** Forgets earlier starts of a target. */
export function noteStart(
  table: ReachabilityTable,
  {target, bornMs}: TargetStart,
): void {
  const known = table.get(target);
  if (known && known.bornMs < bornMs) table.delete(target);
}

function isDue(row: ReachabilityRow, nowMs: number): boolean {
  return !row.isProbing && row.probeAtMs <= nowMs;
}

/** The targets whose probes are due, suspected starts first. */
export function dueTargets(
  table: ReachabilityTable,
  nowMs: number,
): TargetId[] {
  return [...table]
    .filter(([, row]) => isDue(row, nowMs))
    .sort(
      ([, a], [, b]) =>
        a.failedProbes - b.failedProbes || a.probeAtMs - b.probeAtMs,
    )
    .map(([target]) => target);
}

/** Takes the probe of a target if it is due. */
export function takeDueProbe(
  table: ReachabilityTable,
  target: TargetId,
  nowMs: number,
): DueProbe | undefined {
  const row = table.get(target);
  if (row === undefined || !isDue(row, nowMs)) return undefined;
  setRow(table, target, {...row, isProbing: true});
  const {bornMs, failedProbes} = row;
  const timeoutMs = backoffMs(
    FIRST_PROBE_TIMEOUT_MS,
    MAX_PROBE_TIMEOUT_MS,
    failedProbes,
  );
  return {start: {target, bornMs}, timeoutMs};
}

/** Puts off a probe that tells nothing now. */
export function postponeProbe(
  table: ReachabilityTable,
  start: TargetStart,
  nowMs: number,
): void {
  const row = rowOf(table, start);
  if (row === undefined) return;
  const probeAtMs = nowMs + MAX_PROBE_DELAY_MS;
  setRow(table, start.target, {...row, isProbing: false, probeAtMs});
}

/** Records a failed probe. Returns whether it was the first in a row. */
export function noteFailedProbe(
  table: ReachabilityTable,
  start: TargetStart,
  reason: UnreachableReason,
  nowMs: number,
): boolean {
  if (rowOf(table, start) === undefined) return false;
  noteUnreachable(table, start, reason, nowMs);
  const row = rowOf(table, start)!;
  const {failedProbes} = row;
  const delayMs = backoffMs(
    FIRST_PROBE_DELAY_MS,
    MAX_PROBE_DELAY_MS,
    failedProbes,
  );
  setRow(table, start.target, {
    ...row,
    isProbing: false,
    failedProbes: failedProbes + 1,
    probeAtMs: nowMs + delayMs,
  });
  return failedProbes === 0;
}

/**
 * Suspects a few others, chosen at random, that sent nothing lately: a cut
 * seldom hits one target alone. Each that fails its probe has others suspected.
 * Takes those it has looked at from the others, and returns the suspects.
 */
export function suspectOthers(
  table: ReachabilityTable,
  others: TargetStart[],
  /** Undefined: the start is not in use. */
  keptOf: (start: TargetStart) => KeptConnections | undefined,
  nowMs: number,
  random: () => number,
): TargetStart[] {
  const suspects: TargetStart[] = [];
  while (suspects.length < SUSPECTS_PER_FAILURE && others.length > 0) {
    const position = Math.floor(random() * others.length);
    const [start] = others.splice(position, 1);
    if (table.has(start!.target) || !isUnheard(keptOf(start!), nowMs)) continue;
    noteUnreachable(table, start!, 'silent', nowMs);
    suspects.push(start!);
  }
  return suspects;
}

/** Whether a start in use sent nothing lately. */
function isUnheard(kept: KeptConnections | undefined, nowMs: number): boolean {
  if (kept === undefined) return false;
  const {lastReceivedAtMs = Number.NEGATIVE_INFINITY} = kept;
  return nowMs - lastReceivedAtMs > RECENT_MS;
}

/** Whether connecting to this start has failed, and not succeeded since. */
export function hasFailed(
  table: ReachabilityTable,
  start: TargetStart,
): boolean {
  return (rowOf(table, start)?.failures ?? 0) > 0;
}

/** Whether a new request can be sent to this start. */
export function isReachable(
  table: ReachabilityTable,
  start: TargetStart,
  kept: () => KeptConnections,
): boolean {
  const row = rowOf(table, start);
  if (row === undefined || row.failures === 0) return true;
  const {hasIdle, lastReceivedAtMs = Number.NEGATIVE_INFINITY} = kept();
  return hasIdle && lastReceivedAtMs > row.keptAfterMs;
}

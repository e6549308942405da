/**
 * Keeps the sendings to a target within a rate. Sendings are spaced; those that
 * were missed lately may be made up for, a bounded number.
 */
import type {TargetId} from '@samphirefield/core';

/** Time whose missed sendings may be made up for. */
const CATCH_UP_MS = 250;
const MS_PER_S = 1_000;

/** When the next sending to each target is due. */
export type SendRates = Map<TargetId, number>;

export function createSendRates(): SendRates {
  return new Map();
}

/** Time until a sending may begin; 0 if it may begin now. */
export function msUntilSend(
  rates: SendRates,
  target: TargetId,
  nowMs: number,
): number {
  return Math.max(0, (rates.get(target) ?? 0) - nowMs);
}

/** Counts a sending that begins now. */
export function recordSend(
  rates: SendRates,
  target: TargetId,
  perS: number,
  nowMs: number,
): void {
  const dueMs = Math.max(rates.get(target) ?? 0, nowMs - CATCH_UP_MS);
  rates.set(target, dueMs + MS_PER_S / perS);
}

/** Begins to limit a target: the next sending is due after `delayMs`. */
export function startLimiting(
  rates: SendRates,
  target: TargetId,
  delayMs: number,
  nowMs: number,
): void {
  rates.set(target, nowMs + delayMs);
}

/**
 * KV cache that a run holds: what is reserved for it when it starts, and the
 * correction as it runs. Outputs are off by factors from what callers expect,
 * so a run that outgrows its reservation gets more, up to its maximum; without
 * this the engine would have to preempt others.
 */
import {PREFILL_TOKENS_PER_MS} from './work.js';

/**
 * Share of the expected output that is reserved at the start, less than for
 * reservations that are never corrected. In two replays, 0.55 with 200 as
 * `AHEAD_TOKENS` gave 35 preemptions instead of 12, at the same worth of all
 * responses.
 */
const RESERVED_OUTPUT_SHARE = 0.75;
/**
 * Shortest time between output tokens that the correction assumes. Expected
 * durations of runs use `MS_PER_OUTPUT_TOKEN` of work.ts instead.
 */
const CORRECTION_MS_PER_TOKEN = 18;
/** Tokens that a run may generate until its next correction, with a margin. */
const AHEAD_TOKENS = 250;

export interface ReservedRun {
  readonly promptTokens: number;
  /** KV cache with the longest output that the caller allows. */
  readonly maxKvTokens: number;
  /** KV cache that is reserved for it now. */
  readonly kvTokens: number;
  readonly startedAtMs: number;
}

/**
 * KV cache to reserve when the run starts; `kvTokens` is that of the prompt and
 * the expected output.
 */
export function reservedKvTokens(
  kvTokens: number,
  promptTokens: number,
): number {
  const outputTokens = Math.max(0, kvTokens - promptTokens);
  return kvTokens - outputTokens * (1 - RESERVED_OUTPUT_SHARE);
}

/** KV cache that the run needs by now, at least what is reserved for it. */
export function correctedKvTokens(run: ReservedRun, nowMs: number): number {
  const {promptTokens, maxKvTokens, kvTokens, startedAtMs} = run;
  const decodingMs = nowMs - startedAtMs - promptTokens / PREFILL_TOKENS_PER_MS;
  const outputTokens = Math.max(0, decodingMs) / CORRECTION_MS_PER_TOKEN;
  const neededTokens = promptTokens + outputTokens + AHEAD_TOKENS;
  return Math.max(kvTokens, Math.min(maxKvTokens, neededTokens));
}

/**
 * How fast engines prefill, learned from runs with a short output: their time on
 * the engine is that of the prompts before them and of their own. Engines differ
 * (0.7 to 1.7 times, and 2.5 times slower for a while), and a rate that is too
 * high fills them with prompts which make urgent requests late.
 */
import {MS_PER_OUTPUT_TOKEN, PREFILL_TOKENS_PER_MS} from './work.js';

/** Runs with a longer output or a shorter prompt tell little about prefill. */
const MAX_OUTPUT_TOKENS = 64;
const MIN_PROMPT_TOKENS = 500;
/** Weight of one run in the estimate; small, as runs differ. */
const WEIGHT = 0.04;
/** Bounds of a single sample, in tokens per millisecond. */
const MIN_PER_MS = 2;
const MAX_PER_MS = 30;

/** A run whose time on its engine tells how fast that prefills. */
export interface PrefillSample {
  /** Prompt tokens ahead on the engine, and of the run itself. */
  readonly queuedTokens: number;
  readonly outputTokens: number;
  readonly startedAtMs: number;
}

/** Undefined if the run tells little about prefill. */
export function prefillSample(
  kvTokens: number,
  prefillTokens: number,
  tokensAhead: number,
  nowMs: number,
): PrefillSample | undefined {
  const outputTokens = kvTokens - prefillTokens;
  const isUseful =
    outputTokens <= MAX_OUTPUT_TOKENS && prefillTokens >= MIN_PROMPT_TOKENS;
  if (!isUseful) return undefined;
  const queuedTokens = prefillTokens + tokensAhead;
  return {queuedTokens, outputTokens, startedAtMs: nowMs};
}

export class PrefillPace {
  tokensPerMs = PREFILL_TOKENS_PER_MS;

  recordServed(sample: PrefillSample, nowMs: number): void {
    const {queuedTokens, outputTokens, startedAtMs} = sample;
    const outputMs = outputTokens * MS_PER_OUTPUT_TOKEN;
    const prefillMs = Math.max(1, nowMs - startedAtMs - outputMs);
    const perMs = Math.max(
      MIN_PER_MS,
      Math.min(MAX_PER_MS, queuedTokens / prefillMs),
    );
    // Averages times per token, not rates, so that a stalled run counts in full.
    this.tokensPerMs = 1 / ((1 - WEIGHT) / this.tokensPerMs + WEIGHT / perMs);
  }
}

/**
 * How fast engines prefill, learned from runs with a short output: their time on
 * the engine is that of the prompts before them and of their own. Engines differ
 * (0.7 to 1.7 times, and 2.5 times slower for a while), and a rate that is too
 * high fills them with prompts which make urgent requests late.
 */
import {MS_PER_OUTPUT_TOKEN, PREFILL_TOKENS_PER_MS} from './work.js';

/** Runs with a longer output say little about prefill. */
const MAX_OUTPUT_TOKENS = 64;
const MIN_PROMPT_TOKENS = 500;
/** One run is a small part of the estimate, as runs differ. */
const WEIGHT = 0.04;
const MIN_PER_MS = 2;
const MAX_PER_MS = 30;

/** A run whose time on its engine says how fast that prefills. */
export interface PrefillSample {
  /** Prompt tokens ahead on the engine, and of the run itself. */
  readonly queuedTokens: number;
  readonly outputTokens: number;
  readonly startedAtMs: number;
}

/** Undefined if the run says little. */
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
    // Times average to the pace, rates do not: a stalled run counts in full.
    this.tokensPerMs = 1 / ((1 - WEIGHT) / this.tokensPerMs + WEIGHT / perMs);
  }
}

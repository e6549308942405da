/**
 * Measures how long a target takes for one response: to the first event, between
 * events, or for the whole response where it is no stream. Time in which the
 * caller read too slowly is not counted.
 */
import type {DurationSample} from '@samphirefield/policy/target-load';

/** Number of event gaps whose mean is one sample. */
const EVENTS_PER_SAMPLE = 12;
/** Work before the first event that does not depend on the prompt, in tokens. */
const FIRST_EVENT_BASE_TOKENS = 500;

/**
 * Receives the progress of a response; times are those of `performance.now`.
 */
export interface PaceProbe {
  /** The body made progress; with the number of events of a stream so far. */
  onProgress(eventCount: number | undefined, nowMs: number): void;
  /** The target was kept from sending. */
  onPause(): void;
  /** The response is complete and was a success. */
  onPassedOn(nowMs: number): void;
}

export interface PaceProbeOptions {
  readonly isStreamed: boolean;
  /** Whether the response continues one of another target. */
  readonly isContinued: boolean;
  readonly promptTokens: number;
  readonly sentAtMs: number;
  readonly record: (
    sample: Pick<DurationSample, 'kind' | 'durationMs'>,
  ) => void;
}

interface Window {
  readonly fromMs: number;
  readonly fromEvent: number;
}

export function createPaceProbe(options: PaceProbeOptions): PaceProbe {
  const {isStreamed, isContinued, promptTokens, sentAtMs, record} = options;
  let window: Window | undefined;
  let isPaused = false;

  const recordFirst = (nowMs: number) => {
    if (isContinued || isPaused) return;
    // Per token, so that prompts of any length compare.
    const durationMs =
      (nowMs - sentAtMs) / (promptTokens + FIRST_EVENT_BASE_TOKENS);
    record({kind: 'first_event', durationMs});
  };

  return {
    onProgress: (eventCount, nowMs) => {
      if (eventCount === undefined) return;
      if (window === undefined) recordFirst(nowMs);
      const events = window ? eventCount - window.fromEvent : 0;
      const isOver = events >= EVENTS_PER_SAMPLE;
      if (window && !isOver && !isPaused) return;
      if (window && !isPaused) {
        const durationMs = (nowMs - window.fromMs) / events;
        record({kind: 'event_gap', durationMs});
      }
      window = {fromMs: nowMs, fromEvent: eventCount};
      isPaused = false;
    },
    onPause: () => {
      isPaused = true;
    },
    onPassedOn: nowMs => {
      if (isStreamed || isPaused || isContinued) return;
      record({kind: 'response', durationMs: nowMs - sentAtMs});
    },
  };
}

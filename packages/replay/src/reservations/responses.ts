/** What a caller sees of a response that an engine generates. */
import type {TokenCounts} from '@samphirefield/gateway';
import type {PlayedRequest} from './types.js';

/** From the grant to the engine, and from an event to the caller. */
export const HOP_MS = 4;
const TOKENS_PER_EVENT = 4;
const MAX_GAP_MS = 180;

export interface Running {
  readonly played: PlayedRequest;
  readonly tokens: TokenCounts;
  readonly outputTokens: number;
  readonly run: string;
  readonly startedAtMs: number;
  generated: number;
  lastEventAtMs: number | undefined;
  worstGapMs: number;
  isMoving: boolean;
  readonly sentAtMs: number;
  /** Events since the last sample of their gaps. */
  events: number;
  sampledAtMs: number | undefined;
}

/**
 * Records an output token, which is sent with others as an event; calls
 * `onEvent` before it records the event.
 */
export function recordToken(
  running: Running,
  nowMs: number,
  onEvent: () => void,
): void {
  running.generated += 1;
  const isEvent =
    running.generated % TOKENS_PER_EVENT === 0 ||
    running.generated >= running.outputTokens;
  if (!isEvent) return;
  onEvent();
  const atMs = nowMs + HOP_MS;
  if (running.lastEventAtMs === undefined) running.played.firstAtMs = atMs;
  else {
    const gapMs = atMs - running.lastEventAtMs;
    running.worstGapMs = Math.max(running.worstGapMs, gapMs);
  }
  running.lastEventAtMs = atMs;
}

/** Records what became of a request whose response has ended. */
export function recordEnd(
  running: Running,
  nowMs: number,
  maxGapMs = MAX_GAP_MS,
): void {
  const {played, worstGapMs} = running;
  const {requestClass, askedAtMs} = played;
  const firstMs = (played.firstAtMs ?? Infinity) - askedAtMs;
  const isInTime =
    firstMs <= requestClass.objectiveMs && worstGapMs <= maxGapMs;
  const isOverdue = nowMs - askedAtMs > requestClass.deadlineMs;
  if (isOverdue) played.outcome = 'lost';
  else played.outcome = isInTime ? 'in_time' : 'late';
}

/**
 * Builds demands from what is known of a request: how much of a target it will
 * take, and how long it can wait. Tuned for ordinary load; what happens when
 * targets are full is the dispatcher's decision.
 */
import type {
  InstanceId,
  RequestId,
  ServiceId,
  TargetId,
  WorkspaceId,
  ZoneId,
} from '@samphirefield/core';
import type {Demand} from './types.js';

/** Typical output as a share of a request's maximum. */
const TYPICAL_OUTPUT_SHARE = 0.5;
/**
 * Share of its expected output for which a generation reserves KV cache. It
 * holds half of it on average, but long ones run longer, so at any time most
 * running generations are long.
 */
const RESERVED_OUTPUT_SHARE = 0.9;
/**
 * Share of the objective that a request waits before it uses a full plain
 * target, which queues it. A full engine would preempt other requests.
 */
const SOFT_WAIT_SHARE = 0.3;
/** Share of the objective within which a request has to reach its target. */
const IN_TIME_SHARE = 0.5;
/** Share of the objective that a request waits while no target is usable. */
const NO_TARGET_WAIT_SHARE = 0.5;
/** Share of the remaining time that a request waits for any reservation. */
const MAX_WAIT_SHARE = 0.6;
/**
 * A target in another availability zone is chosen only if its load is lower by
 * this share of its capacity.
 */
const OTHER_ZONE_PENALTY = 0.06;
/**
 * The same for moves. Copying a KV cache to another zone takes twice as long
 * and uses a link that other traffic needs.
 */
const MOVE_ZONE_PENALTY = 0.5;

/** Tokens of a request; all 0 where the target is no engine. */
export interface TokenCounts {
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** The caller's estimate; accurate only at the median. */
  readonly hintedOutputTokens: number | undefined;
}

/** Who asks for a target, and for which run. */
export interface Requester {
  readonly request: RequestId;
  readonly service: ServiceId;
  readonly entry: InstanceId;
  readonly zone: ZoneId;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly workspace: WorkspaceId | undefined;
  readonly excluded: readonly TargetId[];
  readonly route?: string;
}

function expectedKvTokens(tokens: TokenCounts): number {
  const {promptTokens, maxOutputTokens, hintedOutputTokens} = tokens;
  const typicalTokens = maxOutputTokens * TYPICAL_OUTPUT_SHARE;
  const hintTokens = Math.min(
    maxOutputTokens,
    hintedOutputTokens ?? typicalTokens,
  );
  // Hints are off by factors, so the geometric mean is used.
  const outputTokens = Math.sqrt(hintTokens * typicalTokens);
  return promptTokens + outputTokens * RESERVED_OUTPUT_SHARE;
}

/** Builds the demand for a target on which a request starts. */
export function startDemand(
  requester: Requester,
  tokens: TokenCounts,
  objectiveMs: number,
  remainingMs: number,
): Demand {
  const isForEngine = tokens.promptTokens > 0;
  return {
    ...requester,
    isRunning: false,
    otherZonePenalty: OTHER_ZONE_PENALTY,
    kvTokens: expectedKvTokens(tokens),
    prefillTokens: tokens.promptTokens,
    inTimeMs: objectiveMs * IN_TIME_SHARE,
    patienceMs: isForEngine
      ? Number.MAX_SAFE_INTEGER
      : objectiveMs * SOFT_WAIT_SHARE,
    noTargetWaitMs: objectiveMs * NO_TARGET_WAIT_SHARE,
    maxWaitMs: Math.max(0, remainingMs) * MAX_WAIT_SHARE,
    deadlineInMs: Math.max(0, remainingMs),
    promptTokens: tokens.promptTokens,
    maxKvTokens: tokens.promptTokens + tokens.maxOutputTokens,
  };
}

/**
 * Changes the demand of a request that starts into that of a stream that runs
 * again: its target prefills the prompt and the tokens that the caller already
 * received. A stream whose response has started counts as running: a refusal
 * would lose its work, and its first event can no longer be late. `sentTokens`
 * may come from the caller, so it is bounded.
 */
export function resumeDemand(
  demand: Demand,
  {promptTokens, maxOutputTokens}: TokenCounts,
  sentTokens: number,
  hasStarted: boolean,
): Demand {
  const prefillTokens = promptTokens + Math.min(sentTokens, maxOutputTokens);
  const kvTokens = Math.max(demand.kvTokens, prefillTokens);
  const resumed = {...demand, kvTokens, prefillTokens};
  if (!hasStarted) return resumed;
  return {
    ...resumed,
    isRunning: true,
    inTimeMs: demand.maxWaitMs,
    noTargetWaitMs: demand.maxWaitMs,
  };
}

/**
 * Builds the demand for a target to which a running generation moves. The
 * demand is granted at once or refused. The requester's zone is that of the
 * target that the generation leaves.
 */
export function moveDemand(
  requester: Requester,
  tokens: TokenCounts,
  ranForMs: number,
): Demand {
  return {
    ...requester,
    isRunning: true,
    otherZonePenalty: MOVE_ZONE_PENALTY,
    kvTokens: expectedKvTokens(tokens),
    prefillTokens: 0,
    promptTokens: tokens.promptTokens,
    maxKvTokens: tokens.promptTokens + tokens.maxOutputTokens,
    ranForMs,
    inTimeMs: 0,
    patienceMs: 0,
    noTargetWaitMs: 0,
    maxWaitMs: 0,
  };
}

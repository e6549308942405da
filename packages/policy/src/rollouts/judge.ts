/** The analysis of one rollout. */
import type {
  RolloutDecision,
  RolloutEvidence,
  RolloutLimits,
  RolloutOrder,
  RolloutSituation,
} from './types.js';

export interface RolloutJudge {
  readonly order: RolloutOrder;
  readonly limits: RolloutLimits;
}

export function createRolloutJudge(
  order: RolloutOrder,
  limits: RolloutLimits,
  nowMs: number,
): RolloutJudge {
  void nowMs;
  return {order, limits};
}

/** Takes in what an entry reports. */
export function recordEvidence(
  judge: RolloutJudge,
  evidence: RolloutEvidence,
): void {
  void [judge, evidence];
}

/** Called at a steady interval, about every 250 ms. */
export function decide(
  judge: RolloutJudge,
  situation: RolloutSituation,
  nowMs: number,
): RolloutDecision {
  void [judge, situation, nowMs];
  return {
    kind: 'continue',
    allowedRequests: 0,
    sendShare: 0,
    targets: [],
    focusRoutes: [],
    stage: 'waiting',
  };
}

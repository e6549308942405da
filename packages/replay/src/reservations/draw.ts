/** Random sizes of requests, from a seeded generator. */
import {workspaceId, type WorkspaceId} from '@samphirefield/core';
import type {TokenCounts} from '@samphirefield/gateway';
import type {RequestClass, Scenario, Unevenness} from './scenario.js';

/** Returns a whole number from 0 to below the bound. */
export type Below = (bound: number) => number;

const STEPS = 1_000_000;
/** The sum of 12 uniform numbers has a variance of 1. */
const UNIFORM_SUMMANDS = 12;
const MIN_OUTPUT_TOKENS = 4;
const MAX_PROMPT_FACTOR = 2;
/** Raises the mean of outputs by what their maximum takes away. */
const CAP_CORRECTION = 1.25;

/** A uniform number in (0, 1). */
export function uniform(below: Below): number {
  return (1 + below(STEPS)) / (STEPS + 1);
}

function normal(below: Below): number {
  let sum = 0;
  for (let i = 0; i < UNIFORM_SUMMANDS; i += 1) sum += below(STEPS) / STEPS;
  return sum - UNIFORM_SUMMANDS / 2;
}

/** A log-normal number with this mean. */
function spread(below: Below, mean: number, sigma: number): number {
  return mean * Math.exp(normal(below) * sigma - sigma ** 2 / 2);
}

export interface DrawnRequest {
  /** What the caller states. */
  readonly tokens: TokenCounts;
  readonly outputTokens: number;
}

export function drawRequest(
  requestClass: RequestClass,
  below: Below,
): DrawnRequest {
  const {outputSpread, maxOutputTokens, promptTokens, promptSpread} =
    requestClass;
  const mean = requestClass.outputTokens * CAP_CORRECTION;
  const output = Math.min(
    maxOutputTokens,
    Math.max(MIN_OUTPUT_TOKENS, spread(below, mean, outputSpread)),
  );
  const prompt = Math.min(
    MAX_PROMPT_FACTOR * promptTokens,
    spread(below, promptTokens, promptSpread),
  );
  const hint = output * Math.exp(normal(below) * requestClass.hintSpread);
  return {
    tokens: {
      promptTokens: Math.round(prompt),
      maxOutputTokens,
      hintedOutputTokens: Math.round(hint),
    },
    outputTokens: Math.round(output),
  };
}

/**
 * Accepts a drawn zone with a probability in proportion to its present demand.
 * `zonePart`: the zone's index as a part of their number, the phase of its swing.
 */
export function acceptsZone(
  {swing, swingMs}: Unevenness,
  zonePart: number,
  nowMs: number,
  below: Below,
): boolean {
  const phase = nowMs / swingMs + zonePart;
  const demand = 1 + swing * Math.sin(2 * Math.PI * phase);
  return uniform(below) * (1 + swing) < demand;
}

/** The first workspace sends the most, each next one a little less. */
export function drawWorkspace(
  {workspaces}: Scenario,
  below: Below,
): WorkspaceId | undefined {
  if (workspaces === undefined) return undefined;
  const position = uniform(below) ** 2;
  return workspaceId(`w${Math.floor(position * workspaces)}`);
}

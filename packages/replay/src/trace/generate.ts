/**
 * Generates traces of both deployments, Tembusu and Botenbeurs, at their current
 * sizes; the same seed gives the same trace.
 */
import {createRandom, type Random} from '@samphirefield/replication/fuzz';
import type {Arrival, Trace, TraceEvent, TraceTarget} from './types.js';

export type DeploymentName = 'tembusu' | 'botenbeurs';

/** One kind of request in a deployment's traffic; `share` is its fraction of all requests. */
interface RequestKind {
  readonly service: string;
  readonly share: number;
  readonly priority: number;
  /** Least and greatest prompt length. */
  readonly promptTokens: readonly [number, number];
  /** Median and spread (sigma) of the log-normal output length, in tokens. */
  readonly outputMedian: number;
  readonly outputSpread: number;
  /** Number of distinct prompt prefixes. */
  readonly prefixes: number;
}

interface DeploymentMix {
  readonly service: string;
  readonly targets: number;
  readonly zones: readonly string[];
  readonly entries: number;
  /** Traffic weight of each workspace. */
  readonly workspaces: readonly number[];
  readonly kinds: readonly RequestKind[];
}

const MAX_OUTPUT_TOKENS = 12_000;
const SLOTS = 16;
const COLD_SLOTS = 2;
const KV_TOKENS = 24_000;
/** Traffic weights of the workspaces: a few of them are large. */
const WORKSPACE_WEIGHTS = [30, 20, 15, 8, 7, 6, 5, 4, 3, 2];

export const DEPLOYMENT_MIXES: Readonly<Record<DeploymentName, DeploymentMix>> =
  {
    tembusu: {
      service: 'advice-models',
      targets: 10,
      zones: ['zone-a', 'zone-b', 'zone-c'],
      entries: 8,
      workspaces: WORKSPACE_WEIGHTS,
      kinds: [
        {
          service: 'advice-models',
          share: 0.6,
          priority: 5,
          promptTokens: [400, 1_600],
          outputMedian: 700,
          outputSpread: 1,
          prefixes: 24,
        },
        {
          service: 'advice-models',
          share: 0.4,
          priority: 3,
          promptTokens: [80, 300],
          outputMedian: 90,
          outputSpread: 0.7,
          prefixes: 8,
        },
      ],
    },
    botenbeurs: {
      service: 'schrijver',
      targets: 6,
      zones: ['zone-a', 'zone-b', 'zone-c'],
      entries: 9,
      workspaces: WORKSPACE_WEIGHTS,
      kinds: [
        {
          service: 'schrijver',
          share: 0.55,
          priority: 5,
          promptTokens: [200, 900],
          outputMedian: 450,
          outputSpread: 0.8,
          prefixes: 30,
        },
        {
          service: 'schrijver',
          share: 0.45,
          priority: 2,
          promptTokens: [100, 1_200],
          outputMedian: 16,
          outputSpread: 0.6,
          prefixes: 4,
        },
      ],
    },
  };

/** Returns a uniform number between 0 and 1, both excluded. */
function uniform(random: Random): number {
  const STEPS = 1_000_000;
  return (random.below(STEPS) + 1) / (STEPS + 1);
}

/** Returns a standard normal number by the Box-Muller transform. */
function normal(random: Random): number {
  return (
    Math.sqrt(-2 * Math.log(uniform(random))) *
    Math.cos(2 * Math.PI * uniform(random))
  );
}

function pickWeighted(random: Random, weights: readonly number[]): number {
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  let remaining = uniform(random) * total;
  for (const [position, weight] of weights.entries()) {
    remaining -= weight;
    if (remaining <= 0) return position;
  }
  return weights.length - 1;
}

function makeArrival(
  mix: DeploymentMix,
  random: Random,
  atMs: number,
): Arrival {
  const kind =
    mix.kinds[
      pickWeighted(
        random,
        mix.kinds.map(requestKind => requestKind.share),
      )
    ]!;
  const outputTokens =
    kind.outputMedian * Math.exp(kind.outputSpread * normal(random));
  const workspace = pickWeighted(random, mix.workspaces);
  return {
    kind: 'arrival',
    at_ms: Math.round(atMs),
    entry: random.below(mix.entries),
    workspace: `workspace-${workspace}`,
    service: kind.service,
    priority: kind.priority,
    prompt_tokens: random.between(...(kind.promptTokens as [number, number])),
    prefix: `${kind.outputMedian}-${random.below(kind.prefixes)}`,
    output_tokens: Math.max(
      1,
      Math.min(MAX_OUTPUT_TOKENS, Math.round(outputTokens)),
    ),
  };
}

export function makeTargets(name: DeploymentName): TraceTarget[] {
  const mix = DEPLOYMENT_MIXES[name];
  return Array.from({length: mix.targets}, (_, index) => ({
    target: `${mix.service}-${index}`,
    zone: mix.zones[index % mix.zones.length]!,
    service: mix.service,
    slots: SLOTS,
    cold_slots: COLD_SLOTS,
    kv_tokens: KV_TOKENS,
  }));
}

export interface TraceOptions {
  readonly deployment: DeploymentName;
  readonly seed: number;
  readonly requestsPerS: number;
  readonly durationMs: number;
  /** Whether the first zone is out for the middle third of the trace. */
  readonly hasZoneOut: boolean;
}

export function generateTrace(options: TraceOptions): Trace {
  const {deployment, seed, requestsPerS, durationMs, hasZoneOut} = options;
  const mix = DEPLOYMENT_MIXES[deployment];
  const random = createRandom(seed);
  const lines: Array<Arrival | TraceEvent> = [];
  let atMs = 0;
  for (;;) {
    atMs += (-Math.log(uniform(random)) * 1_000) / requestsPerS;
    if (atMs >= durationMs) break;
    lines.push(makeArrival(mix, random, atMs));
  }
  if (hasZoneOut) {
    const zone = mix.zones[0]!;
    lines.push({kind: 'zone_out', at_ms: Math.round(durationMs / 3), zone});
    lines.push({
      kind: 'zone_back',
      at_ms: Math.round((durationMs * 2) / 3),
      zone,
    });
    lines.sort((a, b) => a.at_ms - b.at_ms);
  }
  return {
    head: {
      kind: 'head',
      version: 1,
      deployment,
      entries: mix.entries,
      duration_ms: durationMs,
      targets: makeTargets(deployment),
      outcomes: {max_lost: 0, max_above_bearing: 0},
    },
    lines,
  };
}

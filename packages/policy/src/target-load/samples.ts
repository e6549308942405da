/**
 * Turns measured durations into paces relative to the other targets of a
 * service, and sums them up until they are reported. A sample is compared with
 * the decaying mean of its kind over all targets.
 */
import type {ServiceId, TargetId} from '@samphirefield/core';
import type {TargetStart} from '../quarantine/index.js';
import type {Baseline} from './types.js';

/** Kinds of work that are compared with each other. */
export type SampleKind = 'first_event' | 'event_gap' | 'response';

export interface DurationSample {
  readonly service: ServiceId;
  readonly kind: SampleKind;
  /** Separates work of different size; the route's name. */
  readonly route: string;
  readonly durationMs: number;
}

const MAX_BASELINES = 1_024;
const MAX_PENDING = 4_096;
/** Samples over which a baseline is averaged at most. */
const MAX_WEIGHT = 400;
/** A single sample counts for at most this many times the usual. */
const MAX_RATIO_LOG = Math.log(4);
/** Samples of a kind before which a baseline is not used. */
const MIN_BASELINE_WEIGHT = 8;
/**
 * The first event waits for other prompts and for memory, and responses differ
 * by their request, so they tell less of the pace than the time between events.
 */
const WEIGHTS: Readonly<Record<SampleKind, number>> = {
  first_event: 0.25,
  event_gap: 1,
  response: 0.5,
};

export interface PendingSamples {
  bornMs: number;
  samples: number;
  sumLog: number;
}

export interface SampleTable {
  readonly baselines: Map<string, Baseline>;
  /** Samples that were not reported yet. */
  readonly pending: Map<TargetId, PendingSamples>;
}

export function createSamples(): SampleTable {
  return {baselines: new Map(), pending: new Map()};
}

export interface RelativeSample {
  readonly ratioLog: number;
  readonly weight: number;
}

/** Undefined while there is nothing to compare the sample with. */
export function compareSample(
  {baselines}: SampleTable,
  {service, kind, route, durationMs}: DurationSample,
): RelativeSample | undefined {
  if (!(durationMs > 0)) return undefined;
  const key = `${service} ${kind} ${route}`;
  const log = Math.log(durationMs);
  const baseline = baselines.get(key) ?? {meanLog: log, weight: 0};
  if (!baselines.has(key) && baselines.size >= MAX_BASELINES) return undefined;
  baselines.set(key, baseline);
  const ratioLog = Math.max(
    -MAX_RATIO_LOG,
    Math.min(MAX_RATIO_LOG, log - baseline.meanLog),
  );
  const isKnown = baseline.weight >= MIN_BASELINE_WEIGHT;
  baseline.weight = Math.min(MAX_WEIGHT, baseline.weight + 1);
  baseline.meanLog += ratioLog / baseline.weight;
  return isKnown ? {ratioLog, weight: WEIGHTS[kind]} : undefined;
}

/** Adds a sample to those that are reported next. */
export function addPending(
  {pending}: SampleTable,
  {target, bornMs}: TargetStart,
  {ratioLog, weight}: RelativeSample,
): void {
  let row = pending.get(target);
  if (row === undefined || row.bornMs < bornMs) {
    if (pending.size >= MAX_PENDING) return;
    row = {bornMs, samples: 0, sumLog: 0};
    pending.set(target, row);
  }
  if (row.bornMs !== bornMs) return;
  row.samples += weight;
  row.sumLog += ratioLog * weight;
}

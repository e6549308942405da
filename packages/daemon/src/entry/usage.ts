/** What this entry has running, per target; and what its streams may still need. */
import type {ServiceId, TargetId, WorkspaceId} from '@samphirefield/core';
import {
  createHistogram,
  expectedRestTokens,
  type LengthHistogram,
} from '@samphirefield/policy';
import type {EntryTables, StreamRow} from './tables.js';

export interface Usage {
  inUse: number;
  kvInUse: number;
  runsSuspect: boolean;
}

const NO_USE: Readonly<Usage> = {inUse: 0, kvInUse: 0, runsSuspect: false};

export function usageByTarget(tables: EntryTables): Map<TargetId, Usage> {
  const usage = new Map<TargetId, Usage>();
  for (const stream of tables.streams.values()) {
    const row = usage.get(stream.target) ?? {...NO_USE};
    row.inUse += 1;
    row.kvInUse += stream.kvTokens;
    row.runsSuspect ||= stream.isSuspect;
    usage.set(stream.target, row);
  }
  return usage;
}

export function usageOf(
  usage: ReadonlyMap<TargetId, Usage>,
  target: TargetId,
): Readonly<Usage> {
  return usage.get(target) ?? NO_USE;
}

export function histogramFor(
  tables: EntryTables,
  service: ServiceId,
  workspace: WorkspaceId,
): LengthHistogram {
  const key = `${service} ${workspace}`;
  const known = tables.histograms.get(key);
  if (known) return known;
  const made = createHistogram();
  tables.histograms.set(key, made);
  return made;
}

/** Memory that a stream holds now and is expected to need. */
export function kvEstimate(
  histogram: LengthHistogram,
  promptTokens: number,
  generatedTokens: number,
  maxOutputTokens: number,
): number {
  const rest = expectedRestTokens(histogram, generatedTokens);
  const output = Math.min(maxOutputTokens, generatedTokens + rest);
  return Math.ceil(promptTokens + Math.max(output, generatedTokens));
}

/** Brings the estimates of all streams up to date. */
export function refreshEstimates(tables: EntryTables): void {
  for (const stream of tables.streams.values()) {
    if (stream.maxOutputTokens === 0) continue;
    stream.kvTokens = kvOfStream(tables, stream);
  }
}

function kvOfStream(tables: EntryTables, stream: StreamRow): number {
  const {service, workspace, promptTokens, generatedTokens, maxOutputTokens} =
    stream;
  const histogram = histogramFor(tables, service, workspace);
  return kvEstimate(histogram, promptTokens, generatedTokens, maxOutputTokens);
}

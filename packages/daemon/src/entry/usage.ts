/**
 * Counts what this entry's runs use on each target, updated with each change,
 * and estimates the KV cache that the runs will need.
 */
import type {ServiceId, TargetId, WorkspaceId} from '@samphirefield/core';
import {
  createLengthHistogram,
  expectedRemainingTokens,
  type LengthHistogram,
} from '@samphirefield/policy';
import {syncCandidate} from './candidates.js';
import type {EntryTables, ActiveRun, TargetUsage} from './tables.js';

const NO_USE: Readonly<TargetUsage> = {inUse: 0, kvInUse: 0, suspects: 0};

export function usageOf(
  tables: EntryTables,
  target: TargetId,
): Readonly<TargetUsage> {
  return tables.usage.get(target) ?? NO_USE;
}

function changeUsage(
  tables: EntryTables,
  target: TargetId,
  change: Readonly<TargetUsage>,
): void {
  const usage = usageOf(tables, target);
  const next: TargetUsage = {
    inUse: usage.inUse + change.inUse,
    kvInUse: usage.kvInUse + change.kvInUse,
    suspects: usage.suspects + change.suspects,
  };
  if (next.inUse === 0) tables.usage.delete(target);
  else tables.usage.set(target, next);
  const row = tables.targets.get(target);
  if (row) syncCandidate(tables, row);
}

export function addRun(tables: EntryTables, run: ActiveRun): void {
  tables.activeRuns.set(run.requestId, run);
  changeUsage(tables, run.target, {
    inUse: 1,
    kvInUse: run.kvTokens,
    suspects: run.isSuspect ? 1 : 0,
  });
}

/** Returns false when the run was already removed. */
export function removeRun(tables: EntryTables, run: ActiveRun): boolean {
  if (!tables.activeRuns.delete(run.requestId)) return false;
  changeUsage(tables, run.target, {
    inUse: -1,
    kvInUse: -run.kvTokens,
    suspects: run.isSuspect ? -1 : 0,
  });
  return true;
}

export function histogramFor(
  tables: EntryTables,
  service: ServiceId,
  workspace: WorkspaceId,
): LengthHistogram {
  const key = `${service} ${workspace}`;
  const existing = tables.histograms.get(key);
  if (existing) return existing;
  const created = createLengthHistogram();
  tables.histograms.set(key, created);
  return created;
}

/**
 * Share of the expected remaining tokens that is reserved. Runs end at
 * different times, so a batch never holds all remaining tokens of all its runs
 * at once.
 */
const RESERVED_REMAINING_SHARE = 0.3;

/** KV cache tokens that a run holds now and is expected to need. */
export function estimateKvTokens(
  histogram: LengthHistogram,
  promptTokens: number,
  generatedTokens: number,
  maxOutputTokens: number,
): number {
  const remaining =
    RESERVED_REMAINING_SHARE *
    expectedRemainingTokens(histogram, generatedTokens);
  const output = Math.min(maxOutputTokens, generatedTokens + remaining);
  return Math.ceil(promptTokens + Math.max(output, generatedTokens));
}

/** Recomputes the estimates of one of `sliceCount` slices of the runs. */
export function refreshKvEstimates(
  tables: EntryTables,
  slice: number,
  sliceCount: number,
): void {
  let position = 0;
  for (const run of tables.activeRuns.values()) {
    position += 1;
    if (position % sliceCount !== slice || run.maxOutputTokens === 0) continue;
    const previous = run.kvTokens;
    run.kvTokens = estimateRunKvTokens(tables, run);
    const change = run.kvTokens - previous;
    if (change === 0) continue;
    changeUsage(tables, run.target, {
      inUse: 0,
      kvInUse: change,
      suspects: 0,
    });
  }
}

function estimateRunKvTokens(tables: EntryTables, run: ActiveRun): number {
  const {service, workspace, promptTokens, generatedTokens, maxOutputTokens} =
    run;
  const histogram = histogramFor(tables, service, workspace);
  return estimateKvTokens(
    histogram,
    promptTokens,
    generatedTokens,
    maxOutputTokens,
  );
}

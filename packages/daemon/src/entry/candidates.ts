/** Derives the candidates for routing decisions from this entry's tables. */
import type {ServiceId} from '@samphirefield/core';
import {createCandidateList, type CandidateList} from '@samphirefield/policy';
import {hasLeft} from './statements.js';
import type {EntryTables, EntryTarget} from './tables.js';

const EMPTY_LIST: CandidateList = {candidates: [], ring: []};

export function syncCandidate(tables: EntryTables, row: EntryTarget): void {
  const {view, candidate} = row;
  const {outZones, outTargets} = tables.config;
  const usage = tables.usage.get(view.target);
  const inUse = usage?.inUse ?? 0;
  const kvInUse = usage?.kvInUse ?? 0;
  candidate.isOutOfService =
    view.isLapsed ||
    outZones.includes(view.zone) ||
    outTargets.includes(view.target);
  candidate.isDraining = view.isLeaving || hasLeft(tables, row);
  candidate.freeSlots = row.allocatedSlots - inUse;
  candidate.freeKvTokens =
    view.kvTokens === 0 ? Infinity : row.allocatedKvTokens - kvInUse;
  candidate.load = loadOf(row, inUse, kvInUse);
  candidate.runsSuspect = (usage?.suspects ?? 0) > 0;
}

/** Keeps new requests away from a target; a later time stays. */
export function avoidTarget({candidate}: EntryTarget, untilMs: number): void {
  candidate.avoidUntilMs = Math.max(candidate.avoidUntilMs, untilMs);
}

/**
 * Returns the load as a share of the target's capacity: the last report, which
 * lags, corrected by the requests sent since.
 */
function loadOf(row: EntryTarget, inUse: number, kvInUse: number): number {
  const {view} = row;
  const running = Math.max(inUse, view.running + row.sentSinceView);
  const slotShare = running / view.slots;
  if (view.kvTokens === 0) return slotShare;
  const kvUsed = Math.max(kvInUse, view.kvUsedTokens);
  return Math.max(slotShare, kvUsed / view.kvTokens);
}

export function syncAllCandidates(tables: EntryTables): void {
  for (const row of tables.targets.values()) syncCandidate(tables, row);
}

function hasModel(row: EntryTarget, model: string, version: string): boolean {
  if (model === '') return true;
  return row.view.models.some(
    loaded => loaded.model === model && loaded.version === version,
  );
}

/**
 * Returns the candidates of a service that have this version of a model;
 * `model` is empty for a plain service.
 */
export function candidatesFor(
  tables: EntryTables,
  service: ServiceId,
  model: string,
  version: string,
): CandidateList {
  const key = `${service} ${model} ${version}`;
  const cached = tables.candidateLists.get(key);
  if (cached) return cached;
  const rows = [...tables.targets.values()].filter(
    row => row.view.service === service && hasModel(row, model, version),
  );
  const list =
    rows.length === 0
      ? EMPTY_LIST
      : createCandidateList(rows.map(row => row.candidate));
  tables.candidateLists.set(key, list);
  return list;
}

/** Must be called when targets are added or removed or change their models. */
export function clearCandidateLists(tables: EntryTables): void {
  tables.candidateLists.clear();
}

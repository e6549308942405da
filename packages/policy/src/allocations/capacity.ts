/** What a target bears now: nothing, its cold limit, a ramp, or all of it. */
import {zoneId} from '@samphirefield/core';
import type {ServiceState, TargetRow} from './types.js';

/** A target that has been warm this long needs no ramp any more. */
export const WARM_RAMP_MS = 20_000;
/** Share of a target's memory that is given out; the rest takes up surprises. */
export const ALLOCATABLE_KV_SHARE = 0.96;

export interface Capacity {
  readonly slots: number;
  readonly kvTokens: number;
}

const NO_CAPACITY: Capacity = {slots: 0, kvTokens: 0};

function acceptedSlots(row: TargetRow): number {
  const {slots, cold_slots, is_warm, warm_for_ms} = row.announcement;
  if (!is_warm) return Math.min(cold_slots, slots);
  const needsRamp = row.isRamping || warm_for_ms < WARM_RAMP_MS;
  if (!needsRamp) return slots;
  return Math.min(slots, cold_slots + row.finishedSinceWarm);
}

function isOutOfService(row: TargetRow, state: ServiceState): boolean {
  const zone = zoneId(row.announcement.zone);
  return state.outTargets.has(row.target) || state.outZones.has(zone);
}

/** Starts a ramp when a target comes back into service, and ends it. */
export function trackService(
  row: TargetRow,
  state: ServiceState,
  nowMs: number,
): void {
  const isOut = isOutOfService(row, state);
  if (row.wasOutOfService && !isOut) {
    row.isRamping = true;
    row.backInServiceAtMs = nowMs;
    row.finishedSinceWarm = 0;
  }
  row.wasOutOfService = isOut;
  const {slots, cold_slots} = row.announcement;
  if (cold_slots + row.finishedSinceWarm >= slots) row.isRamping = false;
}

export function capacityOf(row: TargetRow, state: ServiceState): Capacity {
  const {leaving_in_ms, kv_tokens} = row.announcement;
  const isOut = isOutOfService(row, state);
  if (isOut || row.isExpired || leaving_in_ms !== undefined) return NO_CAPACITY;
  const kvTokens = Math.floor(kv_tokens * ALLOCATABLE_KV_SHARE);
  return {slots: acceptedSlots(row), kvTokens};
}

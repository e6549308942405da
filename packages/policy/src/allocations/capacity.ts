/**
 * The current capacity of a target: none, its cold limit, a ramp that grows
 * with finished requests, or all of its slots.
 */
import {zoneId} from '@samphirefield/core';
import type {ServiceState, TargetRow} from './types.js';

/**
 * A target that has been warm for this long needs no ramp, unless it has just
 * returned to service.
 */
export const WARM_RAMP_MS = 20_000;
/**
 * Share of a target's KV cache that is allocated. The remainder absorbs
 * unexpected usage.
 */
export const ALLOCATABLE_KV_SHARE = 0.96;

/** Slots and KV cache of a target, or a part of them. */
export interface Capacity {
  readonly slots: number;
  readonly kvTokens: number;
}

const NO_CAPACITY: Capacity = {slots: 0, kvTokens: 0};

/** Returns the slots of a target that is in service. */
function availableSlots(row: TargetRow): number {
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

/**
 * Starts a ramp when a target returns to service, and ends the ramp when it has
 * reached all slots.
 */
export function trackServiceState(
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

/**
 * Returns the current capacity. It is zero when the target is out of service,
 * expired or draining.
 */
export function capacityOf(row: TargetRow, state: ServiceState): Capacity {
  const {leaving_in_ms, kv_tokens} = row.announcement;
  const isOut = isOutOfService(row, state);
  if (isOut || row.isExpired || leaving_in_ms !== undefined) return NO_CAPACITY;
  const kvTokens = Math.floor(kv_tokens * ALLOCATABLE_KV_SHARE);
  return {slots: availableSlots(row), kvTokens};
}

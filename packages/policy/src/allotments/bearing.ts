/** What a target bears now: nothing, its cold limit, a ramp, or all of it. */
import type {ServiceState, TargetRow} from './types.js';

/** A target that has been warm this long needs no ramp any more. */
export const WARM_RAMP_MS = 20_000;
/** Share of a target's memory that is given out; the rest takes up surprises. */
export const KV_SHARE_GIVEN = 0.92;

export interface Bearing {
  readonly slots: number;
  readonly kvTokens: number;
}

const NOTHING: Bearing = {slots: 0, kvTokens: 0};

function bearableSlots(row: TargetRow): number {
  const {slots, cold_slots, is_warm, warm_for_ms} = row.announcement;
  if (!is_warm) return Math.min(cold_slots, slots);
  if (warm_for_ms >= WARM_RAMP_MS) return slots;
  return Math.min(slots, cold_slots + row.finishedSinceWarm);
}

export function bearingOf(row: TargetRow, state: ServiceState): Bearing {
  const {zone, leaving_in_ms, kv_tokens} = row.announcement;
  const isOut =
    state.outTargets.has(row.target) || state.outZones.has(zone as never);
  if (isOut || row.isLapsed || leaving_in_ms !== undefined) return NOTHING;
  const kvTokens = Math.floor(kv_tokens * KV_SHARE_GIVEN);
  return {slots: bearableSlots(row), kvTokens};
}

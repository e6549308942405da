/**
 * Chooses an engine for a demand under admission control: compares a few with
 * room, so that the time does not grow with the number of engines. An engine on
 * which a large demand waits for room takes no other long run until then.
 */
import type {RequestId} from '@samphirefield/core';
import {endsInNotice} from '@samphirefield/policy/admission';
import type {RoomIndex} from './room-index.js';
import type {TargetState} from './target-state.js';
import {FULL_LOAD, type TargetTable} from './target-table.js';
import type {Demand} from './types.js';

/** Acceptable engines to compare, in the zone of the demand and in all zones. */
const MAX_COMPARED = 16;
/** Bounds the search for these if many engines are cold or excluded. */
const MAX_EXAMINED = 192;
/**
 * Weight of the load for runs that end soon: they go to fuller engines, which
 * leaves room in one piece for long ones.
 */
const SHORT_RUN_LOAD_WEIGHT = -0.3;

/** An engine on which a large demand waits for room. */
export interface EngineHold {
  readonly target: TargetState;
  readonly request: RequestId;
}

export interface EngineChoiceOptions {
  readonly mayExceed: boolean;
  /** An engine with a longer prefill backlog is not chosen. */
  readonly maxBacklogMs: number;
  readonly hold: EngineHold | undefined;
}

/** Undefined if no engine can take the demand now. */
export function chooseEngine(
  table: TargetTable,
  index: RoomIndex,
  demand: Demand,
  options: EngineChoiceOptions,
  nowMs: number,
): TargetState | undefined {
  const {mayExceed, maxBacklogMs, hold} = options;
  const {service, zone, kvTokens, isRunning, request} = demand;
  const maxLoad = mayExceed ? table.maxExceededLoad(service) : FULL_LOAD;
  const isShort = !isRunning && endsInNotice(demand);
  const loadWeight = isShort ? SHORT_RUN_LOAD_WEIGHT : 1;
  const isHeld = (target: TargetState) =>
    hold?.target === target && hold.request !== request && !isShort;
  let best: TargetState | undefined;
  let bestCost = Number.POSITIVE_INFINITY;
  const compare = (targets: Iterable<TargetState>) => {
    let compared = 0;
    let examined = 0;
    for (const target of targets) {
      examined += 1;
      if (compared >= MAX_COMPARED || examined > MAX_EXAMINED) return;
      if (target.prefillDoneAtMs - nowMs > maxBacklogMs) continue;
      if (isHeld(target)) continue;
      const load = table.loadIfAcceptable(target, demand, nowMs, maxLoad);
      if (load === undefined) continue;
      compared += 1;
      const cost = table.costOf(target, load * loadWeight, demand, nowMs);
      if (cost >= bestCost) continue;
      best = target;
      bestCost = cost;
    }
  };
  const neededTokens = maxLoad > FULL_LOAD ? 0 : kvTokens;
  compare(index.withRoomIn(zone, neededTokens));
  compare(index.withRoom(neededTokens));
  return best;
}

/** The usable engine with the most room, on which a large demand may wait. */
export function chooseHold(
  table: TargetTable,
  index: RoomIndex,
  demand: Demand,
): EngineHold | undefined {
  for (const target of index.withRoom(0)) {
    if (!table.isUsable(target, demand)) continue;
    return {target, request: demand.request};
  }
  return undefined;
}

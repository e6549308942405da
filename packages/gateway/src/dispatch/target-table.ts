/**
 * The targets that a dispatcher knows, and the choice of one for a demand: the
 * usable one with the lowest cost, which is its load plus penalties.
 */
import type {ServiceId, TargetId, ZoneId} from '@samphirefield/core';
import {hasKvRoom} from '@samphirefield/policy/statements';
import type {TargetRecord} from '../registry/index.js';
import type {TargetLimiter} from './limiter.js';
import type {TargetSpeeds} from './speeds.js';
import {
  createTargetState,
  hasColdToken,
  isCold,
  penaltyOf,
  slownessPenaltyOf,
  type TargetState,
} from './target-state.js';
import type {Demand, ServiceCapacity} from './types.js';
import type {VersionGate} from './version-gate.js';

export const FULL_LOAD = 1;
/** Random part of the cost, which spreads demands over similar targets. */
const TIE_BREAK_RANGE = 0.02;
/**
 * A demand that is meant for a version goes to it unless its targets are full.
 * Exceeds the load of a full target, so that others do not cost less.
 */
const MEANT_VERSION_BONUS = 2;

export interface TargetTableOptions {
  readonly share: (service: ServiceId) => number;
  readonly random: () => number;
  readonly limiter: TargetLimiter;
  readonly speeds: TargetSpeeds;
  readonly versions: VersionGate;
}

export class TargetTable {
  private readonly targets = new Map<TargetId, TargetState>();
  private readonly byService = new Map<ServiceId, Set<TargetId>>();
  private readonly capacities = new Map<ServiceId, ServiceCapacity>();
  private zonesOut: ReadonlySet<ZoneId> = new Set();
  /** Choices that would have been others if all targets were equally fast. */
  choicesBySpeed = 0;

  constructor(private readonly options: TargetTableOptions) {}

  configure(
    capacities: readonly ServiceCapacity[],
    zonesOut: ReadonlySet<ZoneId>,
  ): void {
    this.capacities.clear();
    for (const capacity of capacities) {
      this.capacities.set(capacity.service, capacity);
    }
    this.zonesOut = zonesOut;
  }

  find(id: TargetId): TargetState | undefined {
    return this.targets.get(id);
  }

  all(): Iterable<TargetState> {
    return this.targets.values();
  }

  *ofService(service: ServiceId): Iterable<TargetState> {
    for (const id of this.byService.get(service) ?? []) {
      yield this.targets.get(id)!;
    }
  }

  /** KV cache of one target; undefined on plain services. */
  engineKvTokens(service: ServiceId): number | undefined {
    return this.capacities.get(service)?.kvTokens;
  }

  /** Returns the state if this start of the target was not known. */
  set(
    record: TargetRecord,
    isSilent: boolean,
    nowMs: number,
  ): TargetState | undefined {
    const {id, service, bornMs} = record.announcement;
    const known = this.targets.get(id);
    const earlier = known?.record.announcement;
    if (earlier) this.byService.get(earlier.service)?.delete(id);
    const targets = this.byService.get(service) ?? new Set();
    targets.add(id);
    this.byService.set(service, targets);
    if (known && earlier?.bornMs === bornMs) {
      known.record = record;
      known.isSilent = isSilent;
      return undefined;
    }
    const state = createTargetState(record, isSilent, nowMs);
    this.targets.set(id, state);
    return state;
  }

  remove(id: TargetId): TargetState | undefined {
    const state = this.targets.get(id);
    if (state === undefined) return undefined;
    this.byService.get(state.record.announcement.service)?.delete(id);
    this.targets.delete(id);
    return state;
  }

  isUsable(target: TargetState, demand: Demand): boolean {
    const {announcement} = target.record;
    return (
      this.isAvailable(target) &&
      !demand.excluded.includes(announcement.id) &&
      this.options.versions.mayPlaceOn(announcement, demand)
    );
  }

  isAvailable({record, isSilent}: TargetState): boolean {
    const {id, state, zone} = record.announcement;
    if (state !== 'ready' || isSilent || this.zonesOut.has(zone)) return false;
    return !this.options.limiter.isLeaving(id);
  }

  /** Whether the target leaves and its runs have to move off it. */
  isMovedOff({record}: TargetState): boolean {
    const {id, service, state} = record.announcement;
    if (this.capacities.get(service)?.canMove === false) return false;
    if (state === 'ready') return this.options.limiter.isLeaving(id);
    return state === 'draining';
  }

  hasUsable(demand: Demand): boolean {
    for (const target of this.ofService(demand.service)) {
      if (this.isUsable(target, demand)) return true;
    }
    return false;
  }

  isEveryUsableExcluded(demand: Demand): boolean {
    if (demand.excluded.length === 0) return false;
    let hasAvailable = false;
    for (const target of this.ofService(demand.service)) {
      if (!this.isAvailable(target)) continue;
      if (this.isUsable(target, demand)) return false;
      hasAvailable = true;
    }
    return hasAvailable;
  }

  /** The sum of the limits, if each usable target of the service states one. */
  statedPerS(service: ServiceId): number | undefined {
    let sum = 0;
    for (const target of this.ofService(service)) {
      if (!this.isAvailable(target)) continue;
      const {id} = target.record.announcement;
      const perS = this.options.limiter.expectedPerS(id);
      if (perS === undefined) return undefined;
      sum += perS;
    }
    return sum > 0 ? sum : undefined;
  }

  /** KV cache that the target has free. */
  freeTokensOf(target: TargetState): number {
    const {service} = target.record.announcement;
    const kvTokens = this.engineKvTokens(service) ?? 0;
    return Math.max(
      0,
      kvTokens * this.options.share(service) - target.kvTokens,
    );
  }

  /** Undefined if no target can take the demand now. */
  choose(
    demand: Demand,
    nowMs: number,
    mayExceed: boolean,
  ): TargetState | undefined {
    const maxLoad = mayExceed
      ? this.maxExceededLoad(demand.service)
      : FULL_LOAD;
    let best: TargetState | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    let bestAtSameSpeed: TargetState | undefined;
    let bestCostAtSameSpeed = Number.POSITIVE_INFINITY;
    for (const target of this.ofService(demand.service)) {
      const load = this.loadIfAcceptable(target, demand, nowMs, maxLoad);
      if (load === undefined) continue;
      const costAtSameSpeed = this.costAtSameSpeed(target, load, demand, nowMs);
      const cost = costAtSameSpeed + this.slownessOf(target, demand, nowMs);
      if (cost < bestCost) {
        best = target;
        bestCost = cost;
      }
      if (costAtSameSpeed < bestCostAtSameSpeed) {
        bestAtSameSpeed = target;
        bestCostAtSameSpeed = costAtSameSpeed;
      }
    }
    if (best !== bestAtSameSpeed) this.choicesBySpeed += 1;
    return best;
  }

  /** The load with the demand; undefined if the target cannot take it now. */
  loadIfAcceptable(
    target: TargetState,
    demand: Demand,
    nowMs: number,
    maxLoad: number,
  ): number | undefined {
    if (!this.isUsable(target, demand)) return undefined;
    if (isCold(target, nowMs) && !this.hasColdToken(target, nowMs)) {
      return undefined;
    }
    const load = this.loadAfter(target, demand);
    if (load > maxLoad || !this.hasRoom(target, demand, nowMs)) {
      return undefined;
    }
    const {id} = target.record.announcement;
    const {limiter} = this.options;
    if (limiter.maySend(id, nowMs)) return load;
    limiter.want(id, nowMs);
    return undefined;
  }

  /** Whether the target takes the demand without letting it wait. */
  private hasRoom(
    {record, runs, kvTokens: usedTokens}: TargetState,
    {service, kvTokens}: Demand,
    nowMs: number,
  ): boolean {
    const {limiter, share} = this.options;
    const maxRuns = limiter.maxRuns(record.announcement, nowMs);
    if (maxRuns === undefined) return true;
    if (runs >= maxRuns) return false;
    const capacityTokens = this.engineKvTokens(service);
    if (capacityTokens === undefined) return true;
    return hasKvRoom(capacityTokens, share(service), usedTokens, kvTokens);
  }

  /**
   * Plain targets queue what exceeds their capacity; engines preempt other runs.
   * A dispatcher with a share of an engine may exceed it, as it does not know how
   * much of the rest is in use.
   */
  maxExceededLoad(service: ServiceId): number {
    const isEngine = this.engineKvTokens(service) !== undefined;
    return isEngine && this.options.share(service) === 1
      ? FULL_LOAD
      : Number.POSITIVE_INFINITY;
  }

  /** The load plus the penalties of the target; lower is better. */
  costOf(
    target: TargetState,
    load: number,
    demand: Demand,
    nowMs: number,
  ): number {
    return (
      this.costAtSameSpeed(target, load, demand, nowMs) +
      this.slownessOf(target, demand, nowMs)
    );
  }

  private costAtSameSpeed(
    target: TargetState,
    load: number,
    demand: Demand,
    nowMs: number,
  ): number {
    const {random, versions} = this.options;
    const {announcement} = target.record;
    const isOtherZone = announcement.zone !== demand.zone;
    const isMeant = versions.isMeantFor(announcement, demand);
    return (
      load +
      penaltyOf(target, nowMs) -
      (isMeant ? MEANT_VERSION_BONUS : 0) +
      (isOtherZone ? demand.otherZonePenalty : 0) +
      random() * TIE_BREAK_RANGE
    );
  }

  private slownessOf(
    target: TargetState,
    demand: Demand,
    nowMs: number,
  ): number {
    const {speeds} = this.options;
    if (!speeds.isPaced(demand.service, nowMs)) return 0;
    return slownessPenaltyOf(target, demand, speeds, nowMs);
  }

  /**
   * Load of the target with the demand added; above 1 it exceeds the capacity.
   */
  private loadAfter(target: TargetState, demand: Demand): number {
    const share = this.options.share(demand.service);
    const slots = Math.max(1, target.record.announcement.slots * share);
    const slotLoad = (target.runs + 1) / slots;
    const kvTokens = this.engineKvTokens(demand.service);
    if (kvTokens === undefined) return slotLoad;
    const capacityTokens = Math.max(demand.kvTokens, kvTokens * share);
    return Math.max(
      slotLoad,
      (target.kvTokens + demand.kvTokens) / capacityTokens,
    );
  }

  private hasColdToken(target: TargetState, nowMs: number): boolean {
    const {service} = target.record.announcement;
    const perS = this.capacities.get(service)?.coldRequestsPerS ?? 0;
    return hasColdToken(target, perS * this.options.share(service), nowMs);
  }
}

/**
 * Runs the admission control of `policy` for the services of engines: keeps the
 * index of their room, and chooses engines from it. Answers overload for hours;
 * without the option the dispatcher does not use it.
 */
import type {ServiceId} from '@samphirefield/core';
import {
  PREFILL_TOKENS_PER_MS,
  ServiceAdmission,
  type ArrivalDecision,
} from '@samphirefield/policy/admission';
import {RoomIndex} from './room-index.js';
import type {TargetState} from './target-state.js';
import {FULL_LOAD, type TargetTable} from './target-table.js';
import type {Demand} from './types.js';

/** Usable engines that are compared for a demand, in its zone and in all. */
const COMPARED = 16;
/** Engines that are looked at for these; the others are cold or excluded. */
const MAX_LOOKED_AT = 192;

interface ServiceState {
  readonly admission: ServiceAdmission<Demand>;
  index: RoomIndex;
}

export interface AdmissionControlOptions {
  readonly table: TargetTable;
  readonly share: (service: ServiceId) => number;
}

export class AdmissionControl {
  private readonly services = new Map<ServiceId, ServiceState>();

  constructor(private readonly options: AdmissionControlOptions) {}

  /** Whether the demands of the service are subject to it. */
  covers(service: ServiceId): boolean {
    return this.options.table.engineKvTokens(service) !== undefined;
  }

  get pendingCount(): number {
    let count = 0;
    for (const {admission} of this.services.values()) {
      count += admission.queue.size;
    }
    return count;
  }

  /** Waiting demands by priority. */
  pendingByPriority(): ReadonlyMap<number, number> {
    const sums = new Map<number, number>();
    for (const {admission} of this.services.values()) {
      for (const [priority, count] of admission.queue.counts()) {
        sums.set(priority, (sums.get(priority) ?? 0) + count);
      }
    }
    return sums;
  }

  /** A target for the demand if its turn has come and there is room. */
  chooseNow(demand: Demand, nowMs: number): TargetState | undefined {
    const {admission, index} = this.stateOf(demand.service);
    if (!demand.isRunning) {
      admission.recordArrival(demand, nowMs);
      if (admission.queue.hasInTime(demand.priority)) return undefined;
      if (!admission.mayTakeRoom(demand, index, nowMs)) return undefined;
    }
    return this.choose(demand, nowMs, 0, demand.patienceMs === 0);
  }

  decideArrival(demand: Demand, nowMs: number): ArrivalDecision {
    const {admission} = this.stateOf(demand.service);
    return admission.decideArrival(demand, nowMs);
  }

  expectedWaitMs(demand: Demand, nowMs: number): number | undefined {
    return this.stateOf(demand.service).admission.expectedWaitMs(demand, nowMs);
  }

  add(demand: Demand, nowMs: number): void {
    this.stateOf(demand.service).admission.add(demand, nowMs);
  }

  has({service, request}: Demand): boolean {
    return this.services.get(service)?.admission.queue.has(request) ?? false;
  }

  remove(request: Demand['request']): void {
    for (const {admission} of this.services.values()) {
      admission.queue.remove(request);
    }
  }

  /** Removes and returns the demands that `isWithdrawn` selects. */
  withdraw(isWithdrawn: (demand: Demand) => boolean): Demand[] {
    const withdrawn: Demand[] = [];
    for (const {admission} of this.services.values()) {
      withdrawn.push(...admission.queue.requests().filter(isWithdrawn));
    }
    for (const {request} of withdrawn) this.remove(request);
    return withdrawn;
  }

  coveredServices(): ServiceId[] {
    return [...this.services.keys()].filter(service => this.covers(service));
  }

  /** Demands whose wait is over. Without a usable target it is shorter. */
  ended(nowMs: number, hasUsable: (demand: Demand) => boolean): Demand[] {
    return [...this.services.values()].flatMap(({admission: {queue}}) => {
      const [first] = queue.requests();
      if (first === undefined || hasUsable(first)) return queue.ended(nowMs);
      return queue.endedWithoutTarget(
        nowMs,
        demand => demand.noTargetWaitMs,
        demand => !hasUsable(demand),
      );
    });
  }

  /** Takes in a change of a target; `freedTokens`: what a run gave back. */
  targetChanged(target: TargetState, freedTokens: number, nowMs: number): void {
    const {service} = target.record.announcement;
    if (!this.covers(service)) return;
    const {admission, index} = this.stateOf(service);
    const isAvailable = this.options.table.isAvailable(target);
    index.update(target, isAvailable);
    if (isAvailable && freedTokens !== 0) {
      admission.recordFreed(freedTokens, nowMs);
    }
  }

  targetRemoved(target: TargetState): void {
    const {service} = target.record.announcement;
    this.services.get(service)?.index.remove(target);
  }

  /** Rebuilds the indexes, as time and statements change what is available. */
  refresh(): void {
    for (const [service, state] of this.services) {
      if (this.covers(service)) state.index = this.buildIndex(service);
    }
  }

  /** Offers room to waiting demands; `start` has to take it. */
  offer(
    service: ServiceId,
    nowMs: number,
    start: (demand: Demand, target: TargetState) => void,
  ): void {
    const state = this.services.get(service);
    if (state === undefined || state.admission.queue.size === 0) return;
    const {admission} = state;
    admission.queue.offer(({request: demand, sinceMs}) => {
      const waitedMs = nowMs - sinceMs;
      const mayExceed = waitedMs >= demand.patienceMs;
      const mayTake =
        mayExceed || admission.mayTakeRoom(demand, state.index, nowMs);
      if (!mayTake) return false;
      const target = this.choose(demand, nowMs, waitedMs, mayExceed);
      if (target) start(demand, target);
      return target !== undefined;
    }, nowMs);
  }

  private choose(
    demand: Demand,
    nowMs: number,
    waitedMs: number,
    mayExceed: boolean,
  ): TargetState | undefined {
    const {table} = this.options;
    const {service, zone, kvTokens} = demand;
    const {index, admission} = this.stateOf(service);
    const maxLoad = mayExceed ? table.maxExceededLoad(service) : FULL_LOAD;
    const needTokens = maxLoad > FULL_LOAD ? 0 : kvTokens;
    const isLate = waitedMs > demand.inTimeMs;
    const maxBacklogMs =
      demand.isRunning || isLate
        ? Number.POSITIVE_INFINITY
        : admission.maxBacklogMs(demand);
    let best: TargetState | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    const compare = (targets: Iterable<TargetState>) => {
      let compared = 0;
      let lookedAt = 0;
      for (const target of targets) {
        lookedAt += 1;
        if (compared >= COMPARED || lookedAt > MAX_LOOKED_AT) return;
        if (target.prefillDoneAtMs - nowMs > maxBacklogMs) continue;
        const load = table.loadIfAcceptable(target, demand, nowMs, maxLoad);
        if (load === undefined) continue;
        compared += 1;
        const cost = table.costOf(target, load, demand, nowMs);
        if (cost >= bestCost) continue;
        best = target;
        bestCost = cost;
      }
    };
    compare(index.withRoomIn(zone, needTokens));
    compare(index.withRoom(needTokens));
    return best;
  }

  private stateOf(service: ServiceId): ServiceState {
    let state = this.services.get(service);
    if (state === undefined) {
      const index = this.buildIndex(service);
      state = {admission: new ServiceAdmission<Demand>(), index};
      this.services.set(service, state);
    }
    return state;
  }

  private buildIndex(service: ServiceId): RoomIndex {
    const {table, share} = this.options;
    const kvTokens = table.engineKvTokens(service) ?? 1;
    const index = new RoomIndex(kvTokens, share(service));
    for (const target of table.ofService(service)) {
      index.update(target, table.isAvailable(target));
    }
    return index;
  }
}

export {PREFILL_TOKENS_PER_MS};

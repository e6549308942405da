/**
 * Runs the admission control of `policy` for services of engines, and keeps the
 * index of their free capacity. Meant for overload that lasts for hours; the
 * dispatcher uses it only with the option `usesAdmission`.
 */
import type {RequestId, ServiceId} from '@samphirefield/core';
import {
  ServiceAdmission,
  type ArrivalDecision,
} from '@samphirefield/policy/admission';
import {chooseEngine, chooseHold, type EngineHold} from './engine-choice.js';
import {RoomIndex} from './room-index.js';
import type {Run} from './runs.js';
import type {TargetState} from './target-state.js';
import type {TargetTable} from './target-table.js';
import type {Demand} from './types.js';

/**
 * After this share of its `inTimeMs` the demand that is due first gets an engine
 * on which no other long run starts, as it may need a large piece of room.
 */
const HOLD_AFTER_SHARE = 0.5;
/**
 * The longest notice that targets give before they stop. Runs that are still on
 * a leaving engine after it will not move, so no room is kept for them.
 */
const MAX_NOTICE_MS = 6_000;

interface ServiceState {
  readonly admission: ServiceAdmission<Demand>;
  index: RoomIndex;
  hold: EngineHold | undefined;
}

export interface AdmissionControlOptions {
  readonly table: TargetTable;
  readonly share: (service: ServiceId) => number;
}

/** The outcome of `arrive`. */
export interface Arrival {
  /** Earlier than now if the caller was refused before. */
  readonly firstAskedAtMs: number;
  /** Undefined: the demand has to wait or be refused. */
  readonly target: TargetState | undefined;
}

export class AdmissionControl {
  private readonly services = new Map<ServiceId, ServiceState>();
  /** When targets were first seen to leave. */
  private readonly leavingSinceMs = new WeakMap<TargetState, number>();
  /** The latest time that was passed in with a change or a refresh. */
  private lastMs = 0;

  constructor(private readonly options: AdmissionControlOptions) {}

  /** Whether demands for the service are subject to admission control. */
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

  /** Chooses a target if the demand's turn has come and there is room. */
  arrive(demand: Demand, nowMs: number): Arrival {
    const state = this.stateOf(demand.service);
    const {admission, index} = state;
    const mayExceed = demand.patienceMs === 0;
    if (demand.isRunning) {
      const target = this.choose(state, demand, mayExceed, nowMs);
      return {firstAskedAtMs: nowMs, target};
    }
    const firstAskedAtMs = admission.recordArrival(demand, nowMs);
    const mayStart =
      firstAskedAtMs === nowMs &&
      !admission.queue.hasInTime(demand.priority) &&
      (mayExceed || admission.mayTakeRoom(demand, false, index, nowMs));
    const target = mayStart
      ? this.choose(state, demand, mayExceed, nowMs)
      : undefined;
    return {firstAskedAtMs, target};
  }

  decideArrival(
    demand: Demand,
    firstAskedAtMs: number,
    nowMs: number,
  ): ArrivalDecision {
    if (demand.isRunning) return {kind: 'wait', expectedWaitMs: undefined};
    const {admission} = this.stateOf(demand.service);
    return admission.decideArrival(demand, firstAskedAtMs, nowMs);
  }

  add(demand: Demand, firstAskedAtMs: number, nowMs: number): void {
    this.stateOf(demand.service).admission.add(demand, firstAskedAtMs, nowMs);
  }

  prefillTokensPerMs(service: ServiceId): number {
    return this.stateOf(service).admission.prefill.tokensPerMs;
  }

  recordServed(service: ServiceId, run: Run, nowMs: number): void {
    if (run.prefill === undefined || !this.covers(service)) return;
    this.stateOf(service).admission.prefill.recordServed(run.prefill, nowMs);
  }

  has({service, request}: Demand): boolean {
    return this.services.get(service)?.admission.queue.has(request) ?? false;
  }

  /** Records the refusal; returns the time (ms) after which to retry. */
  refuse(
    demand: Demand,
    firstAskedAtMs: number,
    nowMs: number,
  ): number | undefined {
    if (demand.isRunning) return undefined;
    const {admission} = this.stateOf(demand.service);
    const known = admission.queue.find(demand.request);
    const askedAtMs = known?.firstAskedAtMs ?? firstAskedAtMs;
    admission.recordRefusal(demand, askedAtMs);
    return admission.retryAfterMs(demand, nowMs);
  }

  remove(request: RequestId): void {
    for (const {admission} of this.services.values()) {
      admission.queue.remove(request);
    }
  }

  /** Removes and returns the demands that `isWithdrawn` selects. */
  withdraw(isWithdrawn: (demand: Demand) => boolean): Demand[] {
    const withdrawn: Demand[] = [];
    for (const {admission} of this.services.values()) {
      withdrawn.push(...[...admission.queue.requests()].filter(isWithdrawn));
    }
    for (const {request} of withdrawn) this.remove(request);
    return withdrawn;
  }

  coveredServices(): ServiceId[] {
    return [...this.services.keys()].filter(service => this.covers(service));
  }

  /** Demands that waited too long and are to be refused. */
  ended(nowMs: number): Demand[] {
    const ended = [...this.services.values()].flatMap(({admission}) => [
      ...admission.giveUpOverdue(nowMs),
      ...this.overWait(admission, nowMs),
    ]);
    return [...new Set(ended)];
  }

  /** Demands whose wait is over; it is shorter without a usable target. */
  private overWait({queue}: ServiceAdmission<Demand>, nowMs: number): Demand[] {
    const {table} = this.options;
    for (const first of queue.requests()) {
      if (table.hasUsable(first)) return queue.ended(nowMs);
      return queue.endedWithoutTarget(
        nowMs,
        demand => demand.noTargetWaitMs,
        demand => !table.hasUsable(demand),
      );
    }
    return [];
  }

  /**
   * Updates the index for a target. `freedTokens`: KV cache that became free;
   * negative if it was taken.
   */
  targetChanged(target: TargetState, freedTokens: number, nowMs: number): void {
    const {service} = target.record.announcement;
    if (!this.covers(service)) return;
    const {admission, index} = this.stateOf(service);
    const isAvailable = this.options.table.isAvailable(target);
    this.lastMs = Math.max(this.lastMs, nowMs);
    this.updateIndex(index, target);
    if (isAvailable && freedTokens !== 0) {
      admission.recordFreed(freedTokens, nowMs);
    }
  }

  targetRemoved(target: TargetState): void {
    const {service} = target.record.announcement;
    this.services.get(service)?.index.remove(target);
  }

  /**
   * Rebuilds the indexes, as availability also changes with time and with what
   * targets state.
   */
  refresh(nowMs = this.lastMs): void {
    this.lastMs = nowMs;
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
    this.updateHold(state, nowMs);
    admission.queue.offer(item => {
      const {request: demand, sinceMs, isOverdue} = item;
      const mayExceed = nowMs - sinceMs >= demand.patienceMs;
      const mayTake =
        mayExceed ||
        admission.mayTakeRoom(demand, isOverdue, state.index, nowMs);
      if (!mayTake) return false;
      const target = this.choose(state, demand, mayExceed, nowMs);
      if (target === undefined) return false;
      admission.recordStart(item, nowMs);
      start(demand, target);
      return true;
    }, nowMs);
  }

  private updateHold(state: ServiceState, nowMs: number): void {
    const {table} = this.options;
    const {admission, index, hold} = state;
    const isValid =
      hold !== undefined &&
      admission.queue.find(hold.request)?.isOverdue === false &&
      table.isAvailable(hold.target);
    if (isValid) return;
    const item = admission.queue.longestHeld(HOLD_AFTER_SHARE, nowMs);
    state.hold = item && chooseHold(table, index, item.request);
  }

  private choose(
    {admission, index, hold}: ServiceState,
    demand: Demand,
    mayExceed: boolean,
    nowMs: number,
  ): TargetState | undefined {
    const maxBacklogMs = demand.isRunning
      ? Number.POSITIVE_INFINITY
      : admission.maxBacklogMs(demand);
    const options = {mayExceed, maxBacklogMs, hold};
    return chooseEngine(this.options.table, index, demand, options, nowMs);
  }

  private stateOf(service: ServiceId): ServiceState {
    let state = this.services.get(service);
    if (state === undefined) {
      state = {
        admission: new ServiceAdmission<Demand>(),
        index: this.buildIndex(service),
        hold: undefined,
      };
      this.services.set(service, state);
    }
    return state;
  }

  private updateIndex(index: RoomIndex, target: TargetState): void {
    const {table} = this.options;
    const isLeaving = table.isMovedOff(target);
    const sinceMs = this.leavingSinceMs.get(target) ?? this.lastMs;
    if (isLeaving) this.leavingSinceMs.set(target, sinceMs);
    const isMovedOff = isLeaving && this.lastMs - sinceMs < MAX_NOTICE_MS;
    index.update(target, table.isAvailable(target), isMovedOff);
  }

  private buildIndex(service: ServiceId): RoomIndex {
    const {table, share} = this.options;
    const kvTokens = table.engineKvTokens(service) ?? 1;
    const index = new RoomIndex(kvTokens, share(service));
    for (const target of table.ofService(service)) {
      this.updateIndex(index, target);
    }
    return index;
  }
}

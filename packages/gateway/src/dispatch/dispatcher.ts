/**
 * Reserves capacity on targets for requests. The dispatcher records every run
 * that it granted, so the sum over all daemons that use it stays within the
 * capacity of a target. Only a demand whose patience is over may exceed it, and
 * only on a plain target, which queues it, or where this dispatcher grants from
 * a share and cannot know what is free.
 *
 * The dispatcher gets the time as a parameter and does no input or output. It
 * calls `onResult` once for each demand that is granted or refused.
 */
import type {
  InstanceId,
  RequestId,
  ServiceId,
  TargetId,
  ZoneId,
} from '@samphirefield/core';
import type {TargetRecord} from '../registry/index.js';
import {DemandQueue} from './demand-queue.js';
import {NO_LIMITS, type TargetLimiter} from './limiter.js';
import {
  addRun,
  createTargetState,
  hasColdToken,
  isCold,
  penaltyOf,
  recordGrant,
  recordOutcome,
  removeRun,
  type TargetState,
} from './target-state.js';
import type {
  Demand,
  DispatchRefusal,
  DispatchResult,
  RunOutcome,
  ServiceCapacity,
} from './types.js';
import {ALL_VERSIONS, type VersionGate} from './version-gate.js';
import {WaitEstimate} from './wait-estimate.js';

const FULL_LOAD = 1;
const TIE_BREAK_RANGE = 0.02;
/**
 * A demand that is meant for a version goes to it unless its targets are full:
 * the load of a full target and more, so that others are no better.
 */
const MEANT_VERSION_BONUS = 2;
const MS_PER_S = 1_000;

export interface Run {
  readonly request: RequestId;
  readonly entry: InstanceId;
  readonly target: TargetId;
  readonly kvTokens: number;
}

export interface DispatcherOptions {
  readonly onResult: (demand: Demand, result: DispatchResult) => void;
  /**
   * This dispatcher's share of the capacity of a service's targets, in (0, 1].
   */
  readonly share: (service: ServiceId) => number;
  /** A random number in [0, 1) that chooses among equally good targets. */
  readonly random: () => number;
  /** Default: targets state no limits. */
  readonly limiter?: TargetLimiter;
  /** Default: all versions of a target may be used. */
  readonly versions?: VersionGate;
}

/** Grants or refuses demands; keeps the runs and the pending demands. */
export class Dispatcher {
  private readonly targets = new Map<TargetId, TargetState>();
  private readonly byService = new Map<ServiceId, Set<TargetId>>();
  private readonly runs = new Map<RequestId, Run>();
  private readonly capacities = new Map<ServiceId, ServiceCapacity>();
  private zonesOut: ReadonlySet<ZoneId> = new Set();
  private readonly queue = new DemandQueue();
  private readonly estimate = new WaitEstimate();

  private readonly limiter: TargetLimiter;
  private readonly versions: VersionGate;

  constructor(private readonly options: DispatcherOptions) {
    this.limiter = options.limiter ?? NO_LIMITS;
    this.versions = options.versions ?? ALL_VERSIONS;
  }

  get pendingCount(): number {
    return this.queue.size;
  }

  get runCount(): number {
    return this.runs.size;
  }

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

  setTarget(record: TargetRecord, isSilent: boolean, nowMs: number): void {
    const {id, service, bornMs} = record.announcement;
    const known = this.targets.get(id);
    const earlier = known?.record.announcement;
    if (earlier) this.byService.get(earlier.service)?.delete(id);
    if (known && earlier?.bornMs === bornMs) {
      known.record = record;
      known.isSilent = isSilent;
    } else {
      if (known) this.dropRunsOf(id);
      this.addTarget(record, isSilent, nowMs);
    }
    const targets = this.byService.get(service) ?? new Set();
    targets.add(id);
    this.byService.set(service, targets);
  }

  /** Adds a target; runs on it may have been recorded before. */
  private addTarget(
    record: TargetRecord,
    isSilent: boolean,
    nowMs: number,
  ): void {
    const {id} = record.announcement;
    const state = createTargetState(record, isSilent, nowMs);
    for (const run of this.runs.values()) {
      if (run.target === id) addRun(state, run.kvTokens);
    }
    this.targets.set(id, state);
  }

  removeTarget(id: TargetId): void {
    const state = this.targets.get(id);
    if (state === undefined) return;
    this.byService.get(state.record.announcement.service)?.delete(id);
    this.targets.delete(id);
  }

  acquire(demand: Demand, nowMs: number): void {
    const target =
      demand.isRunning || this.isNextInLine(demand)
        ? this.choose(demand, nowMs, demand.patienceMs === 0)
        : undefined;
    if (target) {
      this.grant(demand, target, nowMs);
      return;
    }
    if (this.isEveryUsableExcluded(demand)) {
      this.refuse(demand, 'all_tried', undefined);
      return;
    }
    if (this.isHopeless(demand, nowMs)) {
      this.refuse(demand, 'crowded', this.expectedWaitMs(demand, nowMs));
      return;
    }
    this.queue.add(demand, nowMs);
    this.grantPending(nowMs);
    const isPending = this.queue.has(demand.request);
    if (isPending && this.isWaitOver(demand, 0)) this.end(demand, nowMs);
  }

  /**
   * Records a run granted by another dispatcher or before a restart. Its target
   * may become known later.
   */
  recordRun(run: Run): void {
    if (this.runs.has(run.request)) return;
    const target = this.targets.get(run.target);
    this.runs.set(run.request, run);
    if (target) addRun(target, run.kvTokens);
  }

  /**
   * Makes the runs of an entry exactly those that it reports: releases the
   * others, whose release was lost, and records those that are unknown.
   */
  replaceRunsOf(
    entry: InstanceId,
    reported: readonly Run[],
    nowMs: number,
  ): void {
    const kept = new Set(reported.map(run => run.request));
    const lost = [...this.runs.values()].filter(
      run => run.entry === entry && !kept.has(run.request),
    );
    for (const {request} of lost) this.release(request, 'abandoned', nowMs);
    for (const run of reported) this.recordRun(run);
  }

  /** Drops pending demands without a result: all, or those of an entry. */
  withdrawPending(entry?: InstanceId): Demand[] {
    return this.queue.withdraw(entry);
  }

  /** Removes every run; the holders of runs have to report them again. */
  clearRuns(): void {
    this.runs.clear();
    for (const target of this.targets.values()) {
      target.runs = 0;
      target.kvTokens = 0;
    }
  }

  /** Ends a run, or withdraws a pending demand. */
  release(request: RequestId, outcome: RunOutcome, nowMs: number): void {
    this.queue.remove(request);
    const run = this.runs.get(request);
    if (run === undefined) return;
    this.runs.delete(request);
    const target = this.targets.get(run.target);
    if (target === undefined) return;
    removeRun(target, run.kvTokens);
    recordOutcome(target, outcome, nowMs);
    this.grantPending(nowMs);
  }

  /** Releases the runs and drops the demands of a daemon that is gone. */
  releaseEntry(entry: InstanceId, nowMs: number): void {
    this.queue.withdraw(entry);
    const orphaned = [...this.runs.values()].filter(run => run.entry === entry);
    for (const run of orphaned) this.release(run.request, 'abandoned', nowMs);
  }

  /**
   * Grants pending demands for which there is capacity; refuses those whose wait
   * is over.
   */
  dispatchPending(nowMs: number): void {
    this.grantPending(nowMs);
    const ended = this.queue.overWait(
      (demand, waitedMs) => this.isWaitOver(demand, waitedMs),
      nowMs,
    );
    for (const demand of ended) this.end(demand, nowMs);
  }

  private grantPending(nowMs: number): void {
    if (this.queue.size === 0) return;
    this.queue.offer(({demand, sinceMs}) => {
      const isPatient = nowMs - sinceMs < demand.patienceMs;
      const target = this.choose(demand, nowMs, !isPatient);
      if (target) this.grant(demand, target, nowMs);
      return target !== undefined;
    }, nowMs);
  }

  /** Refuses a pending demand. */
  private end(demand: Demand, nowMs: number): void {
    this.queue.remove(demand.request);
    const isCrowded = this.hasUsable(demand);
    this.refuse(
      demand,
      isCrowded ? 'crowded' : 'no_target',
      isCrowded ? this.expectedWaitMs(demand, nowMs) : undefined,
    );
  }

  private isNextInLine({service, priority}: Demand): boolean {
    return !this.queue.hasInTime(service, priority);
  }

  /** Undefined while there is no basis for an estimate. */
  private expectedWaitMs(
    {service, priority}: Demand,
    nowMs: number,
  ): number | undefined {
    const ahead = this.queue.countAhead(service, priority);
    const estimateMs = this.estimate.waitMs(service, ahead, nowMs);
    const statedPerS = this.statedPerS(service);
    if (statedPerS === undefined) return estimateMs;
    const statedMs = (ahead / statedPerS) * MS_PER_S;
    return Math.max(estimateMs ?? 0, statedMs);
  }

  /** The sum of the limits, if each usable target of the service states one. */
  private statedPerS(service: ServiceId): number | undefined {
    let sum = 0;
    for (const id of this.byService.get(service) ?? []) {
      if (!this.isAvailable(this.targets.get(id)!)) continue;
      const perS = this.limiter.expectedPerS(id);
      if (perS === undefined) return undefined;
      sum += perS;
    }
    return sum > 0 ? sum : undefined;
  }

  /** Whether the demands ahead need more time than this one may wait. */
  private isHopeless(demand: Demand, nowMs: number): boolean {
    const waitMs = this.expectedWaitMs(demand, nowMs) ?? 0;
    return waitMs > demand.maxWaitMs && this.hasUsable(demand);
  }

  private grant(demand: Demand, target: TargetState, nowMs: number): void {
    const {id} = target.record.announcement;
    const {request, entry, kvTokens} = demand;
    addRun(target, kvTokens);
    recordGrant(target, demand.prefillTokens, nowMs);
    this.limiter.recordSend(id, nowMs);
    this.runs.set(request, {request, entry, target: id, kvTokens});
    this.estimate.recordGrant(demand.service, nowMs);
    this.options.onResult(demand, {kind: 'granted', target: id});
  }

  private targetsOf(demand: Demand): TargetState[] {
    const targets = this.byService.get(demand.service) ?? new Set();
    return [...targets].map(id => this.targets.get(id)!);
  }

  private isEveryUsableExcluded(demand: Demand): boolean {
    if (demand.excluded.length === 0) return false;
    const usable = this.targetsOf(demand).filter(target =>
      this.isUsable(target, {...demand, excluded: []}),
    );
    return (
      usable.length > 0 &&
      usable.every(target => !this.isUsable(target, demand))
    );
  }

  private hasUsable(demand: Demand): boolean {
    return this.targetsOf(demand).some(target => this.isUsable(target, demand));
  }

  private isWaitOver(demand: Demand, waitedMs: number): boolean {
    if (waitedMs >= demand.maxWaitMs) return true;
    return waitedMs >= demand.noTargetWaitMs && !this.hasUsable(demand);
  }

  private refuse(
    demand: Demand,
    reason: DispatchRefusal,
    retryAfterMs: number | undefined,
  ): void {
    this.options.onResult(demand, {kind: 'refused', reason, retryAfterMs});
  }

  private choose(
    demand: Demand,
    nowMs: number,
    mayExceed: boolean,
  ): TargetState | undefined {
    const maxLoad = mayExceed
      ? this.maxExceededLoad(demand.service)
      : FULL_LOAD;
    let best: TargetState | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    for (const id of this.byService.get(demand.service) ?? []) {
      const target = this.targets.get(id)!;
      if (!this.isUsable(target, demand)) continue;
      if (isCold(target, nowMs) && !this.hasColdToken(target, nowMs)) {
        continue;
      }
      const load = this.loadAfter(target, demand);
      if (load > maxLoad) continue;
      if (!this.limiter.maySend(id, nowMs)) {
        this.limiter.want(id, nowMs);
        continue;
      }
      const cost = this.costOf(target, load, demand, nowMs);
      if (cost < bestCost) {
        best = target;
        bestCost = cost;
      }
    }
    return best;
  }

  private isUsable(target: TargetState, demand: Demand): boolean {
    const {announcement} = target.record;
    return (
      this.isAvailable(target) &&
      !demand.excluded.includes(announcement.id) &&
      this.versions.mayPlaceOn(announcement, demand)
    );
  }

  private isAvailable({record, isSilent}: TargetState): boolean {
    const {id, state, zone} = record.announcement;
    if (state !== 'ready' || isSilent || this.zonesOut.has(zone)) return false;
    return !this.limiter.isLeaving(id);
  }

  /**
   * Load of the target with the demand added; above 1 it exceeds the capacity.
   */
  private loadAfter(target: TargetState, demand: Demand): number {
    const share = this.options.share(demand.service);
    const slots = Math.max(1, target.record.announcement.slots * share);
    const slotLoad = (target.runs + 1) / slots;
    const kvTokens = this.capacities.get(demand.service)?.kvTokens;
    if (kvTokens === undefined) return slotLoad;
    const capacityTokens = Math.max(demand.kvTokens, kvTokens * share);
    return Math.max(
      slotLoad,
      (target.kvTokens + demand.kvTokens) / capacityTokens,
    );
  }

  /**
   * Plain targets queue what exceeds their capacity; engines preempt others. Of
   * a share of a target nobody knows how much the others take.
   */
  private maxExceededLoad(service: ServiceId): number {
    const isEngine = this.capacities.get(service)?.kvTokens !== undefined;
    return isEngine && this.options.share(service) === 1
      ? FULL_LOAD
      : Number.POSITIVE_INFINITY;
  }

  private hasColdToken(target: TargetState, nowMs: number): boolean {
    const {service} = target.record.announcement;
    const perS = this.capacities.get(service)?.coldRequestsPerS ?? 0;
    return hasColdToken(target, perS * this.options.share(service), nowMs);
  }

  /** Lower is better; above the load by what speaks against the target. */
  private costOf(
    target: TargetState,
    load: number,
    demand: Demand,
    nowMs: number,
  ): number {
    const {announcement} = target.record;
    const isOtherZone = announcement.zone !== demand.zone;
    const isMeant = this.versions.isMeantFor(announcement, demand);
    return (
      load +
      penaltyOf(target, nowMs) -
      (isMeant ? MEANT_VERSION_BONUS : 0) +
      (isOtherZone ? demand.otherZonePenalty : 0) +
      this.options.random() * TIE_BREAK_RANGE
    );
  }

  private dropRunsOf(id: TargetId): void {
    for (const run of this.runs.values()) {
      if (run.target === id) this.runs.delete(run.request);
    }
  }
}

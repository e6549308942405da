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
import {reservedKvTokens} from '@samphirefield/policy/admission';
import type {TargetStart} from '@samphirefield/policy/quarantine';
import type {TargetRecord} from '../registry/index.js';
import {AdmissionControl} from './admission-control.js';
import {DemandQueue} from './demand-queue.js';
import {NO_LIMITS, type TargetLimiter} from './limiter.js';
import {NO_SPEEDS, type TargetSpeeds} from './speeds.js';
import {
  addRun,
  growRun,
  recordGrant,
  recordOutcome,
  removeRun,
  type TargetState,
} from './target-state.js';
import {correctableRunOf, grownRun, runOf, type Run} from './runs.js';
import {TargetTable} from './target-table.js';
import type {
  Demand,
  DispatchRefusal,
  DispatchResult,
  RunOutcome,
  ServiceCapacity,
} from './types.js';
import {ALL_VERSIONS, type VersionGate} from './version-gate.js';
import {WaitEstimate} from './wait-estimate.js';

const MS_PER_S = 1_000;

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
  /** Default: targets do not state how fast they work. */
  readonly speeds?: TargetSpeeds;
  /** Whether admission control decides for engines; default: no. */
  readonly usesAdmission?: boolean;
  /** Default: all versions of a target may be used. */
  readonly versions?: VersionGate;
}

/** Grants or refuses demands; keeps the runs and the pending demands. */
export class Dispatcher {
  private readonly table: TargetTable;
  private readonly runs = new Map<RequestId, Run>();
  private readonly queue = new DemandQueue();
  private readonly estimate = new WaitEstimate();

  /** Undefined if admission control is not used. */
  private readonly admission: AdmissionControl | undefined;
  private readonly limiter: TargetLimiter;
  private readonly speeds: TargetSpeeds;

  constructor(private readonly options: DispatcherOptions) {
    this.limiter = options.limiter ?? NO_LIMITS;
    this.speeds = options.speeds ?? NO_SPEEDS;
    const {share, random, usesAdmission} = options;
    this.table = new TargetTable({
      share,
      random,
      limiter: this.limiter,
      speeds: this.speeds,
      versions: options.versions ?? ALL_VERSIONS,
    });
    if (usesAdmission !== true) return;
    this.admission = new AdmissionControl({table: this.table, share});
  }

  get pendingCount(): number {
    return this.queue.size + (this.admission?.pendingCount ?? 0);
  }

  /** Waiting demands by priority; empty without admission control. */
  get pendingByPriority(): ReadonlyMap<number, number> {
    return this.admission?.pendingByPriority() ?? new Map();
  }

  get runCount(): number {
    return this.runs.size;
  }

  /** Choices that would have been others if all targets were equally fast. */
  get choicesBySpeed(): number {
    return this.table.choicesBySpeed;
  }

  /** Number of runs that this dispatcher has recorded on the target. */
  runsOn(id: TargetId): number {
    return this.table.find(id)?.runs ?? 0;
  }

  /** The present start of a target; undefined if it is not known. */
  startOf(id: TargetId): TargetStart | undefined {
    return this.table.find(id)?.start;
  }

  configure(
    capacities: readonly ServiceCapacity[],
    zonesOut: ReadonlySet<ZoneId>,
  ): void {
    this.table.configure(capacities, zonesOut);
    this.admission?.refresh();
  }

  setTarget(record: TargetRecord, isSilent: boolean, nowMs: number): void {
    const {id} = record.announcement;
    const before = this.table.find(id);
    const started = this.table.set(record, isSilent, nowMs);
    if (started) {
      if (before) this.dropRunsOf(id);
      if (before) this.admission?.targetRemoved(before);
      this.addRunsTo(started);
    }
    const target = started ?? before!;
    const newTokens = started ? this.table.freeTokensOf(target) : 0;
    this.admission?.targetChanged(target, newTokens, nowMs);
  }

  /** Adds runs that were recorded before their target was known. */
  private addRunsTo(target: TargetState): void {
    const {id} = target.record.announcement;
    for (const run of this.runs.values()) {
      if (run.target === id) addRun(target, run.kvTokens);
    }
  }

  removeTarget(id: TargetId): void {
    const removed = this.table.remove(id);
    if (removed) this.admission?.targetRemoved(removed);
  }

  acquire(demand: Demand, nowMs: number): void {
    if (this.admission?.covers(demand.service)) {
      this.acquireAdmitted(this.admission, demand, nowMs);
      return;
    }
    const target =
      demand.isRunning || this.isNextInLine(demand)
        ? this.table.choose(demand, nowMs, demand.patienceMs === 0)
        : undefined;
    if (target) {
      this.grant(demand, target, nowMs);
      return;
    }
    if (this.table.isEveryUsableExcluded(demand)) {
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

  private acquireAdmitted(
    admission: AdmissionControl,
    asked: Demand,
    nowMs: number,
  ): void {
    const {kvTokens, promptTokens = kvTokens} = asked;
    const reserved = reservedKvTokens(kvTokens, promptTokens);
    const demand = {...asked, kvTokens: reserved};
    const {target, firstAskedAtMs} = admission.arrive(demand, nowMs);
    if (target) {
      this.grant(demand, target, nowMs);
      return;
    }
    if (this.table.isEveryUsableExcluded(demand)) {
      this.refuse(demand, 'all_tried', undefined);
      return;
    }
    const decision = admission.decideArrival(demand, firstAskedAtMs, nowMs);
    if (decision.kind === 'refuse' && this.table.hasUsable(demand)) {
      admission.refuse(demand, firstAskedAtMs, nowMs);
      this.refuse(demand, 'crowded', decision.retryAfterMs);
      return;
    }
    admission.add(demand, firstAskedAtMs, nowMs);
    this.offerAdmitted(demand.service, nowMs);
    const isPending = admission.has(demand);
    if (isPending && this.isWaitOver(demand, 0)) this.end(demand, nowMs);
  }

  /**
   * Records a run granted by another dispatcher or before a restart. Its target
   * may become known later.
   */
  recordRun(run: Run): void {
    if (this.runs.has(run.request)) return;
    const target = this.table.find(run.target);
    this.runs.set(run.request, run);
    if (target === undefined) return;
    addRun(target, run.kvTokens);
    this.admission?.targetChanged(target, 0, 0);
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
    const isOf = (demand: Demand) =>
      entry === undefined || demand.entry === entry;
    const admitted = this.admission?.withdraw(isOf) ?? [];
    return [...this.queue.withdraw(entry), ...admitted];
  }

  /** The same for the demands for a service that this queue holds. */
  withdrawPendingOf(service: ServiceId): Demand[] {
    return this.queue.withdrawOf(service);
  }

  /** Removes every run; the holders of runs have to report them again. */
  clearRuns(): void {
    this.runs.clear();
    for (const target of this.table.all()) {
      target.runs = 0;
      target.kvTokens = 0;
    }
    this.admission?.refresh();
  }

  /** Ends a run, or withdraws a pending demand. */
  release(request: RequestId, outcome: RunOutcome, nowMs: number): void {
    this.queue.remove(request);
    this.admission?.remove(request);
    const run = this.runs.get(request);
    if (run === undefined) return;
    this.runs.delete(request);
    const target = this.table.find(run.target);
    if (target === undefined) return;
    removeRun(target, run.kvTokens);
    recordOutcome(target, outcome, nowMs);
    const {announcement} = target.record;
    this.limiter.recordEnd(announcement, outcome, target.runs, nowMs);
    const {service} = target.record.announcement;
    if (outcome === 'served') this.admission?.recordServed(service, run, nowMs);
    this.admission?.targetChanged(target, run.kvTokens, nowMs);
    this.grantPending(nowMs);
    this.offerAdmitted(service, nowMs);
  }

  /** Releases the runs and drops the demands of a daemon that is gone. */
  releaseEntry(entry: InstanceId, nowMs: number): void {
    this.withdrawPending(entry);
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
    if (this.admission) this.dispatchAdmitted(this.admission, nowMs);
  }

  private dispatchAdmitted(admission: AdmissionControl, nowMs: number): void {
    this.correctRuns(nowMs);
    admission.refresh(nowMs);
    for (const service of admission.coveredServices()) {
      this.offerAdmitted(service, nowMs);
    }
    for (const demand of admission.ended(nowMs)) this.end(demand, nowMs);
  }

  /** Reserves more for runs that outgrow their reservations. */
  private correctRuns(nowMs: number): void {
    for (const [request, run] of this.runs) {
      const target = this.table.find(run.target);
      const grown = grownRun(run, nowMs);
      if (target === undefined || grown === undefined) continue;
      growRun(target, grown.kvTokens - run.kvTokens);
      this.runs.set(request, grown);
    }
  }

  private offerAdmitted(service: ServiceId, nowMs: number): void {
    this.admission?.offer(service, nowMs, (demand, target) =>
      this.grant(demand, target, nowMs),
    );
  }

  private grantPending(nowMs: number): void {
    if (this.queue.size === 0) return;
    this.queue.offer(({demand, sinceMs}) => {
      const isPatient = nowMs - sinceMs < demand.patienceMs;
      const target = this.table.choose(demand, nowMs, !isPatient);
      if (target) this.grant(demand, target, nowMs);
      return target !== undefined;
    }, nowMs);
  }

  /** Refuses a pending demand. */
  private end(demand: Demand, nowMs: number): void {
    const waitMs = this.removePending(demand, nowMs);
    const isCrowded = this.table.hasUsable(demand);
    this.refuse(
      demand,
      isCrowded ? 'crowded' : 'no_target',
      isCrowded ? waitMs : undefined,
    );
  }

  /** Returns the expected wait for a reservation; undefined if not known. */
  private removePending(demand: Demand, nowMs: number): number | undefined {
    const {admission} = this;
    if (admission?.covers(demand.service)) {
      const waitMs = admission.refuse(demand, nowMs, nowMs);
      admission.remove(demand.request);
      return waitMs;
    }
    this.queue.remove(demand.request);
    return this.expectedWaitMs(demand, nowMs);
  }

  private isNextInLine({service, priority}: Demand): boolean {
    return !this.queue.hasInTime(service, priority);
  }

  /** Undefined while there is no basis for an estimate. */
  private expectedWaitMs(demand: Demand, nowMs: number): number | undefined {
    const {service, priority} = demand;
    const ahead = this.queue.countAhead(service, priority);
    const estimateMs = this.estimate.waitMs(service, ahead, nowMs);
    const statedPerS = this.table.statedPerS(service);
    if (statedPerS === undefined) return estimateMs;
    const statedMs = (ahead / statedPerS) * MS_PER_S;
    return Math.max(estimateMs ?? 0, statedMs);
  }

  /** Whether the demands ahead need more time than this one may wait. */
  private isHopeless(demand: Demand, nowMs: number): boolean {
    const waitMs = this.expectedWaitMs(demand, nowMs) ?? 0;
    return waitMs > demand.maxWaitMs && this.table.hasUsable(demand);
  }

  private grant(demand: Demand, target: TargetState, nowMs: number): void {
    const {id} = target.record.announcement;
    const isAdmitted = this.admission?.covers(demand.service) ?? false;
    addRun(target, demand.kvTokens);
    const prefillPerMs = isAdmitted
      ? this.admission?.prefillTokensPerMs(demand.service)
      : undefined;
    const backlogMs = Math.max(0, target.prefillDoneAtMs - nowMs);
    const tokensAhead = backlogMs * (prefillPerMs ?? 0);
    recordGrant(target, demand, this.speeds, nowMs, prefillPerMs);
    const takenTokens = demand.isRunning ? -demand.kvTokens : 0;
    this.admission?.targetChanged(target, takenTokens, nowMs);
    this.limiter.recordSend(id, nowMs);
    const run = isAdmitted
      ? correctableRunOf(demand, id, tokensAhead, nowMs)
      : runOf(demand, id);
    this.runs.set(demand.request, run);
    this.estimate.recordGrant(demand.service, nowMs);
    this.options.onResult(demand, {kind: 'granted', target: id});
  }

  private isWaitOver(demand: Demand, waitedMs: number): boolean {
    if (waitedMs >= demand.maxWaitMs) return true;
    return waitedMs >= demand.noTargetWaitMs && !this.table.hasUsable(demand);
  }

  private refuse(
    demand: Demand,
    reason: DispatchRefusal,
    retryAfterMs: number | undefined,
  ): void {
    this.options.onResult(demand, {kind: 'refused', reason, retryAfterMs});
  }

  private dropRunsOf(id: TargetId): void {
    for (const run of this.runs.values()) {
      if (run.target === id) this.runs.delete(run.request);
    }
  }
}

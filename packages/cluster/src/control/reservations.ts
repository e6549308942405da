/**
 * Grants reservations on engines and permits to move runs off a target, on the
 * leader. Records every run of every entry.
 */
import type {
  InstanceId,
  Logger,
  RequestId,
  TargetId,
  ZoneId,
} from '@samphirefield/core';
import {
  Dispatcher,
  MovePermits,
  type Demand,
  type DispatchResult,
  type ServiceCapacity,
  type TargetLimiter,
  type TargetRecord,
  type TargetSpeeds,
  type VersionGate,
} from '@samphirefield/gateway';
import {outcomeOf} from './finish-message.js';
import type {
  FinishMessage,
  HeldRuns,
  MoreRuns,
  MovePermitMessage,
} from './messages.js';

export interface ReservationManagerOptions {
  readonly limiter: TargetLimiter;
  readonly speeds: TargetSpeeds;
  /** Whether admission control decides for engines; default: no. */
  readonly usesAdmission?: boolean | undefined;
  readonly versions: VersionGate;
  readonly logger: Logger;
  readonly nowMs: () => number;
}

const PCT = 100;

interface WaitingDemand {
  readonly resolve: (result: DispatchResult) => void;
  readonly reject: (error: Error) => void;
  readonly sinceMs: number;
}

export class ReservationManager {
  private readonly dispatcher: Dispatcher;
  private readonly permits: MovePermits;
  private readonly waiting = new Map<RequestId, WaitingDemand>();
  /** Refused demands by priority. */
  private readonly refused = new Map<number, number>();
  private term = 0;

  constructor(private readonly options: ReservationManagerOptions) {
    this.dispatcher = new Dispatcher({
      onResult: (demand, result) => this.onResult(demand, result),
      share: () => 1,
      random: Math.random,
      limiter: options.limiter,
      speeds: options.speeds,
      usesAdmission: options.usesAdmission ?? false,
      versions: options.versions,
    });
    this.permits = new MovePermits(options.nowMs);
  }

  get pendingCount(): number {
    return this.dispatcher.pendingCount;
  }

  /** Waiting demands by priority; empty without admission control. */
  get pendingByPriority(): ReadonlyMap<number, number> {
    return this.dispatcher.pendingByPriority;
  }

  /** Demands refused since the start, by priority. */
  get refusedByPriority(): ReadonlyMap<number, number> {
    return this.refused;
  }

  get heldCount(): number {
    return this.dispatcher.runCount;
  }

  get choicesBySpeed(): number {
    return this.dispatcher.choicesBySpeed;
  }

  configure(
    capacities: readonly ServiceCapacity[],
    zonesOut: ReadonlySet<ZoneId>,
  ): void {
    this.dispatcher.configure(capacities, zonesOut);
  }

  setTarget(record: TargetRecord, isSilent: boolean): void {
    this.dispatcher.setTarget(record, isSilent, this.options.nowMs());
  }

  removeTarget(id: TargetId): void {
    this.dispatcher.removeTarget(id);
  }

  /**
   * Drops the runs granted in an earlier term: other leaders have released them
   * since. Returns whether the term is new.
   */
  startTerm(term: number): boolean {
    if (term === this.term) return false;
    this.term = term;
    this.dispatcher.clearRuns();
    this.options.logger.info('leadership_taken', {term});
    return true;
  }

  /** Fails the pending demands: this daemon is no longer the leader. */
  endTerm(): void {
    this.rejectPending(undefined, 'not_leader');
  }

  reserve(demand: Demand): Promise<DispatchResult> {
    return new Promise((resolve, reject) => {
      const sinceMs = this.options.nowMs();
      this.waiting.set(demand.request, {resolve, reject, sinceMs});
      this.dispatcher.acquire(demand, sinceMs);
    });
  }

  release(message: FinishMessage): void {
    const {request} = message;
    const nowMs = this.options.nowMs();
    this.dispatcher.release(request, outcomeOf(message), nowMs);
    this.waiting.get(request)?.reject(new Error('released'));
    this.waiting.delete(request);
  }

  /**
   * Replaces what is recorded of an entry with what it reports. The entry no
   * longer waits for demands that it sent before.
   */
  replaceRuns({entry, runs}: HeldRuns): void {
    this.rejectPending(entry, 'superseded');
    const reported = runs.map(run => ({...run, entry}));
    this.dispatcher.replaceRunsOf(entry, reported, this.options.nowMs());
  }

  /** Records runs that an entry granted itself. */
  addRuns({entry, runs}: MoreRuns): void {
    for (const run of runs) this.dispatcher.recordRun({...run, entry});
  }

  releaseEntry(entry: InstanceId): void {
    this.options.logger.warn('entry_lost', {entry});
    this.dispatcher.releaseEntry(entry, this.options.nowMs());
  }

  acquireMovePermit({source, holder}: MovePermitMessage): Promise<object> {
    return new Promise(resolve => {
      this.permits.request(source, holder, () => resolve({}));
    });
  }

  releaseMovePermit({source, holder}: MovePermitMessage): void {
    this.permits.release(source, holder);
  }

  tick(): void {
    this.dispatcher.dispatchPending(this.options.nowMs());
    this.permits.expireOverdue();
  }

  private rejectPending(entry: InstanceId | undefined, reason: string): void {
    for (const {request} of this.dispatcher.withdrawPending(entry)) {
      this.waiting.get(request)?.reject(new Error(reason));
      this.waiting.delete(request);
    }
  }

  /**
   * Time of prefill on the target in percent of the usual; undefined if targets
   * of the service do not state how fast they work.
   */
  private durationPct(
    {service}: Demand,
    result: DispatchResult,
  ): number | undefined {
    const {speeds, nowMs} = this.options;
    if (result.kind !== 'granted' || !speeds.isPaced(service, nowMs()))
      return undefined;
    const start = this.dispatcher.startOf(result.target);
    return start && Math.round(speeds.durationFactor(start, 0, nowMs()) * PCT);
  }

  private onResult(demand: Demand, result: DispatchResult): void {
    const waiting = this.waiting.get(demand.request);
    this.waiting.delete(demand.request);
    waiting?.resolve(result);
    const {priority} = demand;
    if (result.kind === 'refused') {
      this.refused.set(priority, (this.refused.get(priority) ?? 0) + 1);
    }
    const waitedMs = this.options.nowMs() - (waiting?.sinceMs ?? 0);
    this.options.logger.info('placement', {
      run: demand.request,
      outcome: result.kind,
      target: result.kind === 'granted' ? result.target : undefined,
      reason: result.kind === 'refused' ? result.reason : undefined,
      expected_wait_ms:
        result.kind === 'refused' && result.retryAfterMs !== undefined
          ? Math.round(result.retryAfterMs)
          : undefined,
      priority,
      waited_ms: waiting && Math.round(waitedMs),
      kv_tokens: Math.round(demand.kvTokens),
      duration_pct: this.durationPct(demand, result),
      held: this.heldCount,
      waiting: this.pendingCount,
    });
  }
}

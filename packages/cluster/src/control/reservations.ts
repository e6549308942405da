/**
 * What the leader gives out: places on engines, and turns for moves off a
 * target. Its books hold every run of every entry.
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
  type RunOutcome,
  type ServiceCapacity,
  type TargetRecord,
} from '@samphirefield/gateway';
import type {FinishMessage, HeldRuns, MovePermitMessage} from './messages.js';

export interface ReservationManagerOptions {
  readonly logger: Logger;
  readonly nowMs: () => number;
}

export class ReservationManager {
  private readonly dispatcher: Dispatcher;
  private readonly turns: MovePermits;
  private readonly answers = new Map<
    RequestId,
    (answer: DispatchResult) => void
  >();
  private term = 0;

  constructor(private readonly options: ReservationManagerOptions) {
    this.dispatcher = new Dispatcher({
      onResult: (demand, answer) => this.onAnswer(demand, answer),
      share: () => 1,
      random: Math.random,
    });
    this.turns = new MovePermits(options.nowMs);
  }

  get waitingCount(): number {
    return this.dispatcher.pendingCount;
  }

  get heldCount(): number {
    return this.dispatcher.runCount;
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

  /** What was given out in an earlier term, others have taken back since. */
  startTerm(term: number): void {
    if (term === this.term) return;
    this.term = term;
    this.dispatcher.clearRuns();
    this.options.logger.info('leadership_taken', {term});
  }

  place(demand: Demand): Promise<DispatchResult> {
    return new Promise(resolve => {
      this.answers.set(demand.request, resolve);
      this.dispatcher.acquire(demand, this.options.nowMs());
    });
  }

  finish({request, outcome}: FinishMessage): void {
    const nowMs = this.options.nowMs();
    this.dispatcher.release(request, outcome as RunOutcome, nowMs);
  }

  adopt({entry, runs}: HeldRuns): void {
    for (const run of runs) this.dispatcher.recordRun({...run, entry});
  }

  dropEntry(entry: InstanceId): void {
    this.options.logger.warn('entry_lost', {entry});
    this.dispatcher.releaseEntry(entry, this.options.nowMs());
  }

  acquireMovePermit({source, holder}: MovePermitMessage): Promise<object> {
    return new Promise(resolve => {
      this.turns.request(source, holder, () => resolve({}));
    });
  }

  releaseMovePermit({source, holder}: MovePermitMessage): void {
    this.turns.release(source, holder);
  }

  tick(): void {
    this.dispatcher.dispatchPending(this.options.nowMs());
    this.turns.expireOverdue();
  }

  private onAnswer(demand: Demand, answer: DispatchResult): void {
    const resolve = this.answers.get(demand.request);
    this.answers.delete(demand.request);
    resolve?.(answer);
    this.options.logger.info('placement', {
      run: demand.request,
      outcome: answer.kind,
      target: answer.kind === 'granted' ? answer.target : undefined,
      reason: answer.kind === 'refused' ? answer.reason : undefined,
      kv_tokens: Math.round(demand.kvTokens),
      held: this.heldCount,
      waiting: this.waitingCount,
    });
  }
}

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
  MoveTurns,
  type Demand,
  type DispatchAnswer,
  type RunOutcome,
  type ServiceCapacity,
  type TargetRecord,
} from '@samphirefield/gateway';
import type {FinishMessage, HeldRuns, MoveTurnMessage} from './messages.js';

export interface PlacementsOptions {
  readonly logger: Logger;
  readonly nowMs: () => number;
}

export class Placements {
  private readonly dispatcher: Dispatcher;
  private readonly turns: MoveTurns;
  private readonly answers = new Map<
    RequestId,
    (answer: DispatchAnswer) => void
  >();
  private term = 0;

  constructor(private readonly options: PlacementsOptions) {
    this.dispatcher = new Dispatcher({
      onAnswer: (demand, answer) => this.onAnswer(demand, answer),
      share: () => 1,
      random: Math.random,
    });
    this.turns = new MoveTurns(options.nowMs);
  }

  get waitingCount(): number {
    return this.dispatcher.waitingCount;
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
    this.dispatcher.forgetAllRuns();
    this.options.logger.info('leadership_taken', {term});
  }

  place(demand: Demand): Promise<DispatchAnswer> {
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
    for (const run of runs) this.dispatcher.adopt({...run, entry});
  }

  dropEntry(entry: InstanceId): void {
    this.options.logger.warn('entry_lost', {entry});
    this.dispatcher.dropEntry(entry, this.options.nowMs());
  }

  takeTurn({source, holder}: MoveTurnMessage): Promise<object> {
    return new Promise(resolve => {
      this.turns.ask(source, holder, () => resolve({}));
    });
  }

  endTurn({source, holder}: MoveTurnMessage): void {
    this.turns.end(source, holder);
  }

  tick(): void {
    this.dispatcher.pump(this.options.nowMs());
    this.turns.tick();
  }

  private onAnswer(demand: Demand, answer: DispatchAnswer): void {
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

/**
 * Reservations that an entry grants itself: on plain targets, and on engines
 * while there is no leader. Dispatches periodically while demands wait.
 */
import type {RequestId, ServiceId} from '@samphirefield/core';
import {
  Dispatcher,
  type Demand,
  type DispatchResult,
  type DispatcherOptions,
  type RunOutcome,
} from '@samphirefield/gateway';

const DISPATCH_EVERY_MS = 100;
/**
 * Wait after which this entry exceeds its share of an engine: without a leader
 * it does not know how much the other entries use.
 */
const LOCAL_PATIENCE_MS = 500;

export interface LocalReservationsOptions extends Omit<
  DispatcherOptions,
  'onResult' | 'random'
> {
  readonly share: (service: ServiceId) => number;
  readonly nowMs: () => number;
}

export class LocalReservations {
  readonly dispatcher: Dispatcher;
  private readonly resolvers = new Map<
    RequestId,
    (result: DispatchResult | undefined) => void
  >();
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: LocalReservationsOptions) {
    this.dispatcher = new Dispatcher({
      ...options,
      onResult: (demand, result) => this.resolve(demand, result),
      random: Math.random,
    });
  }

  /** Undefined if the demand was withdrawn. */
  reserve(demand: Demand): Promise<DispatchResult | undefined> {
    return new Promise(resolve => {
      this.resolvers.set(demand.request, resolve);
      const patienceMs = Math.min(demand.patienceMs, LOCAL_PATIENCE_MS);
      const localDemand = {...demand, patienceMs};
      this.dispatcher.acquire(localDemand, this.options.nowMs());
      this.dispatchLater();
    });
  }

  release(request: RequestId, outcome: RunOutcome): void {
    this.dispatcher.release(request, outcome, this.options.nowMs());
    this.resolvers.delete(request);
  }

  /** Ends the wait of the demands for a service. */
  withdraw(service: ServiceId): void {
    for (const demand of this.dispatcher.withdrawPendingOf(service))
      this.resolve(demand, undefined);
  }

  /** Grants demands for which there may be room now. */
  dispatchPending(): void {
    this.dispatcher.dispatchPending(this.options.nowMs());
  }

  stop(): void {
    clearTimeout(this.timer);
  }

  private dispatchLater(): void {
    if (this.timer || this.dispatcher.pendingCount === 0) return;
    this.timer = setTimeout(() => {
      this.timer = undefined;
      this.dispatchPending();
      this.dispatchLater();
    }, DISPATCH_EVERY_MS);
  }

  private resolve(demand: Demand, result: DispatchResult | undefined): void {
    const resolve = this.resolvers.get(demand.request);
    this.resolvers.delete(demand.request);
    resolve?.(result);
  }
}

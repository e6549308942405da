/**
 * Reserves the targets of one request, one after another, each at most once.
 */
import {setTimeout as delay} from 'node:timers/promises';
import type {RequestId, ServiceId, TargetId} from '@samphirefield/core';
import type {RunOutcome} from '../dispatch/index.js';
import type {PlaceLack} from './classify-result.js';
import {targetsToAvoid} from './reachability.js';
import {
  buildStartDemand,
  newRunId,
  type AdmittedRequest,
  type StreamProgress,
} from './reservation.js';
import type {
  GatewayDependencies,
  LocalResponse,
  RequestMetadata,
} from './types.js';

/**
 * Delay before a new demand; a change of a rollout reaches an entry in this
 * time.
 */
const VERSION_RETRY_MS = 25;

/** A reserved target, and the run that holds the reservation. */
export interface ReservedPlace {
  readonly kind: 'reserved';
  readonly target: TargetId;
  readonly run: RequestId;
}

/** A reserved target, or why there is none. */
export type Place =
  | ReservedPlace
  | {
      readonly kind: 'refused';
      readonly response: LocalResponse;
      readonly lacks: PlaceLack;
    };

const REQUEST_IS_OVER: Place = {
  kind: 'refused',
  response: {kind: 'not_run', reason: 'the request is over'},
  lacks: 'room',
};

export class TargetPlacer {
  /** Time spent waiting for targets. */
  waitedMs = 0;
  private readonly excluded: TargetId[] = [];
  /** A target that is or will be reserved in advance. */
  private preparing: Promise<ReservedPlace | undefined> | undefined;
  private isClosed = false;
  private pending: {run: RequestId; service: ServiceId} | undefined;

  constructor(
    private readonly deps: GatewayDependencies,
    private readonly metadata: RequestMetadata,
    private readonly remainingMs: () => number,
    /** How far the stream of the request has come. */
    private readonly progress: () => StreamProgress,
  ) {}

  /** Keeps the request from this target. */
  exclude(target: TargetId): void {
    this.excluded.push(target);
  }

  /**
   * Reserves a target. If it may not be used any more once it is reserved,
   * releases it and reserves another; that does not count as an attempt.
   */
  private async place(admitted: AdmittedRequest): Promise<Place> {
    for (;;) {
      const place = await this.reserve(admitted);
      if (place.kind === 'refused') return place;
      const isVersionOpen = this.deps.runObserver?.mayUse(place.target) ?? true;
      if (isVersionOpen && this.mayUse(place.target)) return place;
      this.release(place.run, admitted.service, 'not_sent');
      if (isVersionOpen) this.exclude(place.target);
      // The leader's state of the rollout is newer or older than this
      // process's.
      else await delay(VERSION_RETRY_MS);
      if (this.isClosed) return REQUEST_IS_OVER;
    }
  }

  /**
   * Reserves a target in advance; keeps it if `mayRun` holds then. Resolves with
   * whether it is kept.
   */
  async prepare(
    admitted: AdmittedRequest,
    mayRun: () => boolean,
  ): Promise<boolean> {
    const prepare = async () => {
      const place = await this.place(admitted);
      if (place.kind === 'refused') return undefined;
      if (mayRun()) return place;
      this.release(place.run, admitted.service, 'not_sent');
      return undefined;
    };
    this.preparing = prepare();
    return (await this.preparing) !== undefined;
  }

  /**
   * Whether a target is reserved in advance; waits for a pending reservation.
   */
  async isPrepared(): Promise<boolean> {
    return (await this.preparing) !== undefined;
  }

  /** The target that was reserved in advance, otherwise another one. */
  async next(admitted: AdmittedRequest): Promise<Place> {
    return (await this.takePrepared()) ?? (await this.place(admitted));
  }

  async dropPrepared(service: ServiceId): Promise<void> {
    const place = await this.takePrepared();
    if (place) this.release(place.run, service, 'not_sent');
  }

  private async takePrepared(): Promise<ReservedPlace | undefined> {
    const {preparing} = this;
    this.preparing = undefined;
    return preparing;
  }

  /** Withdraws a pending demand, and releases a target reserved in advance. */
  close(service: ServiceId): void {
    this.withdraw();
    void this.dropPrepared(service);
  }

  release(run: RequestId, service: ServiceId, outcome: RunOutcome): void {
    this.deps.reservations.release(run, service, outcome);
  }

  /** Asks for no further target, and withdraws a pending demand. */
  withdraw(): void {
    this.isClosed = true;
    if (this.pending === undefined) return;
    const {run, service} = this.pending;
    this.release(run, service, 'not_sent');
  }

  private async reserve(admitted: AdmittedRequest): Promise<Place> {
    const {deps, metadata, excluded} = this;
    const {service} = admitted;
    const run = newRunId(deps);
    this.pending = {run, service};
    const requestedAtMs = deps.nowMs();
    const paused = deps.statements.pausedTargets();
    const result = await deps.reservations.reserve(
      buildStartDemand(
        deps,
        admitted,
        metadata,
        run,
        [...excluded, ...paused, ...targetsToAvoid(deps, service)],
        this.remainingMs(),
        this.progress(),
      ),
    );
    this.pending = undefined;
    this.waitedMs += deps.nowMs() - requestedAtMs;
    if (result.kind === 'granted')
      return {kind: 'reserved', target: result.target, run};
    const retryAfterMs =
      result.retryAfterMs ?? deps.statements.pauseLeftMs(paused);
    const {reason} = result;
    const hasPaused = paused.some(id => this.isOfService(id, service));
    return {
      kind: 'refused',
      response: {kind: 'not_run', reason, retryAfterMs},
      lacks: reason === 'crowded' || hasPaused ? 'room' : 'target',
    };
  }

  private isOfService(id: TargetId, service: ServiceId): boolean {
    const record = this.deps.reservations.findTarget(id);
    return record?.announcement.service === service;
  }

  private mayUse(target: TargetId): boolean {
    const {reservations, statements} = this.deps;
    const bornMs = reservations.findTarget(target)?.announcement.bornMs;
    return bornMs === undefined || statements.mayUse({target, bornMs});
  }
}

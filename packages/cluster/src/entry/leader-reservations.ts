/**
 * Requests reservations from the leader. With admission control, demands that
 * waited at a lost leader are sent again to the next one, which rebuilds the
 * queue from them. If entries granted them instead, the whole queue would
 * overload engines at once.
 */
import {setTimeout as delay} from 'node:timers/promises';
import type {Logger} from '@samphirefield/core';
import type {Demand, DispatchResult} from '@samphirefield/gateway';
import {toFinishMessage} from '../control/index.js';
import type {Peer} from '../link/index.js';

/** Added to a request's maximum wait, for the round trip to the leader. */
const RESERVATION_MARGIN_MS = 1_000;
/** An election takes up to 0.64 s; a silent leader is noticed after 1.5 s. */
export const NEXT_LEADER_WAIT_MS = 1_500;
const LEADER_POLL_MS = 50;

export interface LeaderReservationsOptions {
  readonly leader: () => Peer | undefined;
  /** How often the leader has changed. */
  readonly leaderChangeCount: () => number;
  readonly logger: Logger;
  readonly nowMs: () => number;
  /** Whether a demand is sent to the next leader when one is lost. */
  readonly sendsAgain: boolean;
  /** How long a demand waits for the next leader. */
  readonly nextLeaderWaitMs: number;
}

/** What a leader decided about a demand. */
export interface LeaderResult {
  readonly result: DispatchResult;
  /** The number of changes of the leader when it was asked. */
  readonly askedAtChange: number;
}

/** The demand after it has waited for some time. */
export function afterWait(demand: Demand, waitedMs: number): Demand {
  const left = (timeMs: number) => Math.max(0, timeMs - waitedMs);
  const {deadlineInMs} = demand;
  return {
    ...demand,
    inTimeMs: left(demand.inTimeMs),
    maxWaitMs: left(demand.maxWaitMs),
    ...(deadlineInMs === undefined ? {} : {deadlineInMs: left(deadlineInMs)}),
  };
}

export class LeaderReservations {
  constructor(private readonly options: LeaderReservationsOptions) {}

  /** Undefined if there is no leader, or none gave a result. */
  async reserve(demand: Demand): Promise<LeaderResult | undefined> {
    const {leader, nowMs, sendsAgain, nextLeaderWaitMs} = this.options;
    const startedAtMs = nowMs();
    let giveUpAtMs: number | undefined;
    let peer = leader();
    while (peer !== undefined) {
      const askedAtMs = nowMs();
      const sent = afterWait(demand, askedAtMs - startedAtMs);
      const result = await this.ask(peer, sent);
      if (result !== undefined || !sendsAgain) return result;
      // A leader at which the demand waited restarts the time for the next one.
      const hasWaited = nowMs() - askedAtMs > LEADER_POLL_MS;
      if (giveUpAtMs === undefined || hasWaited)
        giveUpAtMs = nowMs() + nextLeaderWaitMs;
      const untilMs = Math.min(giveUpAtMs, startedAtMs + demand.maxWaitMs);
      peer = await this.nextLeader(untilMs);
    }
    return undefined;
  }

  private async ask(
    leader: Peer,
    demand: Demand,
  ): Promise<LeaderResult | undefined> {
    const askedAtChange = this.options.leaderChangeCount();
    try {
      const result = await leader.request<DispatchResult>(
        'place',
        demand,
        demand.maxWaitMs + RESERVATION_MARGIN_MS,
      );
      return {result, askedAtChange};
    } catch (error) {
      // The leader may still grant the demand; nobody would release that grant.
      const {request} = demand;
      leader.notify('finish', toFinishMessage(request, 'not_sent'));
      this.options.logger.warn('leader_gave_no_place', {
        run: demand.request,
        reason: String(error),
      });
      return undefined;
    }
  }

  /**
   * Returns the leader after a pause; undefined if none is known in time. It may
   * be the same one: a daemon rejects demands until it knows of its election, and
   * waiting demands when it receives the runs of their entry again.
   */
  private async nextLeader(untilMs: number): Promise<Peer | undefined> {
    const {leader, nowMs} = this.options;
    while (nowMs() < untilMs) {
      await delay(LEADER_POLL_MS);
      const peer = leader();
      if (peer !== undefined) return peer;
    }
    return undefined;
  }
}

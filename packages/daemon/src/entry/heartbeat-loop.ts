/**
 * Sends heartbeats to the leader. They report this entry's usage and demand;
 * the responses bring its allocations, the newest configuration and the view
 * lease on both.
 */
import type {Logger} from '@samphirefield/core';
import type {Demand} from '@samphirefield/policy';
import type {Clock} from '../clock/index.js';
import type {Heartbeat} from '../rpc/index.js';
import type {HeartbeatResponse} from '../voter/index.js';
import type {ControlClient} from './control-client.js';
import {applyResponse, buildHeartbeat} from './heartbeat-messages.js';
import {hasViewLease, type EntryTables} from './tables.js';

export interface HeartbeatLoopOptions {
  readonly tables: EntryTables;
  readonly control: ControlClient;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly heartbeatMs: number;
  readonly leaseMs: number;
  readonly demand: () => readonly Demand[];
  readonly replica: () => Heartbeat['replica'];
  /** Called after each applied response: allocations and rules may differ. */
  readonly onResponse: () => void;
}

/** Shortest time between two heartbeats when one is needed early. */
const EARLY_HEARTBEAT_GAP_MS = 60;

export class HeartbeatLoop {
  private sequence = 0;
  private timer: NodeJS.Timeout | undefined;
  private dueAtMs = 0;
  private isSending = false;
  /** Whether something is to be reported that no heartbeat has carried yet. */
  private isNeededSoon = false;
  private isStopped = false;
  private hadLease = false;
  private loggedRevision = 0;

  constructor(private readonly options: HeartbeatLoopOptions) {}

  start(): void {
    this.schedule(0);
  }

  stop(): void {
    this.isStopped = true;
    clearTimeout(this.timer);
  }

  /** Brings the next heartbeat forward, without flooding the leader. */
  sendSoon(): void {
    this.isNeededSoon = true;
    if (this.isSending) return;
    const nowMs = this.options.clock.nowMs();
    if (this.dueAtMs - nowMs > EARLY_HEARTBEAT_GAP_MS)
      this.schedule(EARLY_HEARTBEAT_GAP_MS);
  }

  private schedule(afterMs: number): void {
    if (this.isStopped) return;
    clearTimeout(this.timer);
    this.dueAtMs = this.options.clock.nowMs() + afterMs;
    this.timer = setTimeout(() => void this.sendHeartbeat(), afterMs);
  }

  private async sendHeartbeat(): Promise<void> {
    const {heartbeatMs} = this.options;
    this.isSending = true;
    this.isNeededSoon = false;
    const needsEarly = await this.reportToLeader();
    this.isSending = false;
    this.logLeaseChange();
    const hasDemand = this.options.demand().length > 0;
    this.schedule(
      needsEarly || hasDemand || this.isNeededSoon
        ? EARLY_HEARTBEAT_GAP_MS
        : heartbeatMs,
    );
  }

  /** Returns whether the next heartbeat is needed early. */
  private async reportToLeader(): Promise<boolean> {
    const {
      tables,
      control,
      clock,
      demand,
      replica,
      heartbeatMs,
      leaseMs,
      onResponse,
    } = this.options;
    this.sequence += 1;
    const sentAtMs = clock.nowMs();
    const heartbeat = {
      ...buildHeartbeat(tables, this.sequence, demand(), sentAtMs),
      replica: replica(),
    };
    const response = await control.callLeader<HeartbeatResponse>(
      'entry.heartbeat',
      heartbeat,
      sentAtMs + Math.max(heartbeatMs, leaseMs / 2),
    );
    if (response.isErr()) {
      this.options.logger.debug('heartbeat_failed', {
        reason: response.error.lastReason,
      });
      return true;
    }
    if (response.value.kind !== 'ok') return true;
    control.updateVoters(response.value.voters);
    const {needsEarlyHeartbeat} = applyResponse(
      tables,
      heartbeat,
      response.value,
      sentAtMs,
      leaseMs,
    );
    onResponse();
    return needsEarlyHeartbeat;
  }

  private logLeaseChange(): void {
    const {tables, clock, logger} = this.options;
    const hasLease = hasViewLease(tables, clock.nowMs());
    const {revision} = tables.config;
    if (hasLease !== this.hadLease) {
      logger.info(hasLease ? 'view_lease_gained' : 'view_lease_lost', {
        revision,
      });
    }
    if (revision !== this.loggedRevision) {
      logger.info('config_in_force', {revision, hash: tables.configHash});
    }
    this.hadLease = hasLease;
    this.loggedRevision = revision;
  }
}

/**
 * Keeps in touch with the leader: reports what this entry uses and wants, and
 * brings its allotments, the newest configuration and the lease on both.
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
  /** Called after each answer: allotments and rules may have changed. */
  readonly onResponse: () => void;
}

/** Least time between two heartbeats when one is wanted early. */
const EARLY_HEARTBEAT_MS = 60;

export class HeartbeatLoop {
  private sequence = 0;
  private timer: NodeJS.Timeout | undefined;
  private dueMs = 0;
  private isBeating = false;
  private isStopped = false;
  private hadLease = false;
  private revision = 0;

  constructor(private readonly options: HeartbeatLoopOptions) {}

  start(): void {
    this.schedule(0);
  }

  stop(): void {
    this.isStopped = true;
    clearTimeout(this.timer);
  }

  /** Asks for a heartbeat soon, without flooding the leader. */
  sendSoon(): void {
    if (this.isBeating) return;
    const nowMs = this.options.clock.nowMs();
    if (this.dueMs - nowMs > EARLY_HEARTBEAT_MS)
      this.schedule(EARLY_HEARTBEAT_MS);
  }

  private schedule(afterMs: number): void {
    if (this.isStopped) return;
    clearTimeout(this.timer);
    this.dueMs = this.options.clock.nowMs() + afterMs;
    this.timer = setTimeout(() => void this.beat(), afterMs);
  }

  private async beat(): Promise<void> {
    const {heartbeatMs} = this.options;
    this.isBeating = true;
    const needsEarly = await this.exchange();
    this.isBeating = false;
    this.noteLease();
    const isWaiting = this.options.demand().length > 0;
    this.schedule(needsEarly || isWaiting ? EARLY_HEARTBEAT_MS : heartbeatMs);
  }

  private async exchange(): Promise<boolean> {
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
    const answer = await control.callLeader<HeartbeatResponse>(
      'entry.heartbeat',
      heartbeat,
      sentAtMs + Math.max(heartbeatMs, leaseMs / 2),
    );
    if (answer.isErr()) {
      this.options.logger.debug('heartbeat_failed', {
        reason: answer.error.lastReason,
      });
      return true;
    }
    if (answer.value.kind !== 'ok') return true;
    control.updateVoters(answer.value.voters);
    const {needsEarlyHeartbeat} = applyResponse(
      tables,
      heartbeat,
      answer.value,
      sentAtMs,
      leaseMs,
    );
    onResponse();
    return needsEarlyHeartbeat;
  }

  private noteLease(): void {
    const {tables, clock, logger} = this.options;
    const hasLease = hasViewLease(tables, clock.nowMs());
    const {revision} = tables.config;
    if (hasLease !== this.hadLease) {
      logger.info(hasLease ? 'view_lease_gained' : 'view_lease_lost', {
        revision,
      });
    }
    if (revision !== this.revision) {
      logger.info('config_in_force', {revision, hash: tables.configHash});
    }
    this.hadLease = hasLease;
    this.revision = revision;
  }
}

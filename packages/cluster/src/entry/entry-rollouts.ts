/**
 * An entry's part of rollouts: decides which requests go to the new version,
 * within the lease of the leader, counts their outcomes and reports the counts.
 * Without a valid lease nothing goes to the new version.
 */
import type {
  Incarnation,
  InstanceId,
  Logger,
  RequestId,
  ServiceId,
  TargetId,
} from '@samphirefield/core';
import type {
  Demand,
  DispatchResult,
  ObservedEnd,
  ObservedRun,
  RunObserver,
  TargetAnnouncement,
  VersionGate,
  VersionId,
} from '@samphirefield/gateway';
import {
  RolloutGate,
  type Rollout,
  type RolloutGrantView,
  type RolloutLeases,
  type RolloutReportMessage,
} from '../control/index.js';
import type {Peer} from '../link/index.js';
import {RunningRollout} from './running-rollout.js';

const REPORT_EVERY_MS = 250;
const REPORT_TIMEOUT_MS = 1_000;

export interface EntryRolloutsOptions {
  readonly instance: InstanceId;
  readonly incarnation: Incarnation;
  readonly logger: Logger;
  readonly nowMs: () => number;
  readonly random: () => number;
  readonly leader: () => Peer | undefined;
  readonly announcementOf: (target: TargetId) => TargetAnnouncement | undefined;
  /** Called when other targets of the service may be used than before. */
  readonly onChange: (service: ServiceId) => void;
  readonly observe?: VersionObserver | undefined;
}

/** Called with the end of each attempt on a target. */
export type VersionObserver = (
  service: ServiceId,
  version: VersionId | undefined,
  end: ObservedEnd,
) => void;

export class EntryRollouts implements VersionGate, RunObserver {
  private rollouts = new Map<ServiceId, Rollout>();
  private readonly running = new Map<ServiceId, RunningRollout>();
  private readonly gate: RolloutGate;
  private timer: NodeJS.Timeout | undefined;
  private isReporting = false;
  private leaderTerm: number | undefined;

  constructor(private readonly options: EntryRolloutsOptions) {
    this.gate = new RolloutGate({
      rolloutOf: service => this.rollouts.get(service),
      grantOf: rollout => this.grantOf(rollout),
    });
  }

  /** Applies the rollouts in the state of the control group. */
  follow(rollouts: readonly Rollout[]): void {
    const before = this.rollouts;
    this.rollouts = new Map(rollouts.map(item => [item.service, item]));
    for (const rollout of rollouts) {
      const known = before.get(rollout.service);
      const isKnown =
        known?.startIndex === rollout.startIndex &&
        known.state === rollout.state;
      if (!isKnown) this.followOne(rollout);
    }
    this.reportWhileRunning();
  }

  private followOne(rollout: Rollout): void {
    const {service, target, state, startIndex, reason} = rollout;
    const {logger, nowMs, random, onChange} = this.options;
    this.running.delete(service);
    if (state === 'running') {
      const running = new RunningRollout({rollout, nowMs, random});
      this.running.set(service, running);
    }
    const fields = {service, target, state, start_index: startIndex, reason};
    logger.info('rollout_in_force', fields);
    onChange(service);
  }

  mayPlaceOn(target: TargetAnnouncement, demand: Demand): boolean {
    return this.gate.mayPlaceOn(target, demand);
  }

  isMeantFor(target: TargetAnnouncement, demand: Demand): boolean {
    return this.gate.isMeantFor(target, demand);
  }

  /** Whether runs on the target have to move, as if it drained. */
  isLeaving(target: TargetAnnouncement): boolean {
    return this.gate.isLeaving(target);
  }

  mayUse(id: TargetId): boolean {
    const target = this.options.announcementOf(id);
    if (target === undefined) return true;
    return this.gate.mayPlaceOn(target, {rolloutSide: 'new'});
  }

  /** Decides whether a request may go to the new version. */
  assign(demand: Demand): Demand {
    const isNew = this.running.get(demand.service)?.take(demand) ?? false;
    return isNew ? {...demand, rolloutSide: 'new'} : demand;
  }

  /** Takes back the grant of a request that got no target of the new version. */
  settle({service, request}: Demand, result: DispatchResult): void {
    const running = this.running.get(service);
    if (running === undefined) return;
    const granted = result.kind === 'granted' ? result.target : undefined;
    running.settle(request, granted && this.versionOf(granted));
  }

  /** Takes back the grant of a request that is no longer waiting. */
  withdraw(request: RequestId, service: ServiceId): void {
    this.running.get(service)?.withdraw(request);
  }

  recordArrival(service: ServiceId): void {
    this.running.get(service)?.recordArrival();
  }

  startRun(route: string, service: ServiceId, target: TargetId): ObservedRun {
    const running = this.running.get(service);
    const run = running?.startRun(route, target, this.versionOf(target));
    let current = target;
    return {
      noteAnswer: latencyMs => run?.noteAnswer(latencyMs),
      noteMove: next => {
        current = next;
        run?.noteMove(next, this.versionOf(next));
      },
      noteEnd: end => {
        const state = this.options.announcementOf(current)?.state;
        // A run lost on a draining target is no fault of its version.
        const isLeaving = state === 'draining';
        const counted = end === 'bad' && isLeaving ? 'void' : end;
        run?.noteEnd(counted);
        this.options.observe?.(service, this.versionOf(current), counted);
      },
    };
  }

  /** Reports everything again: a leader of another term knows none of it. */
  onLeader(): void {
    this.markAllUnreported();
    void this.report();
  }

  stop(): void {
    clearInterval(this.timer);
    this.timer = undefined;
  }

  private versionOf(target: TargetId): VersionId | undefined {
    return this.options.announcementOf(target)?.version;
  }

  private grantOf({
    service,
    startIndex,
  }: Rollout): RolloutGrantView | undefined {
    const running = this.running.get(service);
    return running?.rollout.startIndex === startIndex
      ? running.grant()
      : undefined;
  }

  private markAllUnreported(): void {
    for (const {counts} of this.running.values()) counts.markUnreported('all');
  }

  private reportWhileRunning(): void {
    if (this.running.size === 0) this.stop();
    else if (this.timer === undefined) {
      this.timer = setInterval(() => void this.report(), REPORT_EVERY_MS);
      void this.report();
    }
  }

  /** Reports to the leader, one report at a time, and takes its leases. */
  private async report(): Promise<void> {
    const leader = this.options.leader();
    if (this.isReporting || leader === undefined || this.running.size === 0)
      return;
    this.isReporting = true;
    const {instance: entry, incarnation, logger, nowMs} = this.options;
    const sentAtMs = nowMs();
    const runningRollouts = [...this.running.values()];
    const reports = runningRollouts.map(running => running.report());
    const message: RolloutReportMessage = {entry, incarnation, reports};
    try {
      const answer = await leader.request<RolloutLeases>(
        'rollout_report',
        message,
        REPORT_TIMEOUT_MS,
      );
      this.takeLeases(answer, sentAtMs);
    } catch (error) {
      logger.warn('rollout_report_lost', {reason: String(error)});
      runningRollouts.forEach(({counts}, i) =>
        counts.markUnreported(reports[i]!.rows),
      );
    } finally {
      this.isReporting = false;
    }
  }

  private takeLeases({term, leases}: RolloutLeases, sentAtMs: number): void {
    if (this.leaderTerm !== undefined && term !== this.leaderTerm)
      this.markAllUnreported();
    this.leaderTerm = term;
    for (const lease of leases) {
      const running = this.running.get(lease.service);
      if (running?.rollout.startIndex !== lease.startIndex) continue;
      const isChanged = running.takeLease(lease, sentAtMs);
      if (isChanged) this.options.onChange(lease.service);
    }
  }
}

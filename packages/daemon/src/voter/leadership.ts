/** The leader's tables for one term, and the work done on them at each tick. */
import type {Logger} from '@samphirefield/core';
import {
  deltasSince,
  planMembership,
  type CandidateView,
  type ControlResult,
  type ControlStateMachine,
  type MembershipGoal,
  type MembershipStep,
  type MemberView,
} from '@samphirefield/control';
import {
  createLeaderTables,
  handleReport,
  leaderTick,
  type AllocationTiming,
  type HolderId,
  type LeaderTables,
  type ServiceState,
} from '@samphirefield/policy';
import {
  lastIndex,
  type Replica,
  type ReplicaId,
  type ReplicaNode,
} from '@samphirefield/replication';
import type {Heartbeat} from '../rpc/index.js';
import type {ModelPlacement} from './model-placement.js';
import type {ConfigUpdate} from './types.js';

/**
 * Identity, configuration revision and replica from a daemon's last heartbeat.
 * The rest of its report is in `LeaderTables`.
 */
export interface DaemonRow {
  readonly holder: HolderId;
  readonly instance: string;
  readonly zone: string;
  readonly revision: number;
  readonly lastSeenAtMs: number;
  readonly replica: Heartbeat['replica'];
}

export class Leadership {
  readonly tables: LeaderTables;
  readonly daemons = new Map<HolderId, DaemonRow>();
  private isChangingMembership = false;
  private readonly abandoningHolders = new Set<string>();

  constructor(
    readonly term: number,
    private readonly node: ReplicaNode<ControlResult>,
    private readonly stateMachine: ControlStateMachine,
    private readonly timing: AllocationTiming,
    private readonly membershipGoal: () => MembershipGoal,
    private readonly logger: Logger,
    private readonly startedAtMs: number,
    private readonly modelPlacement: ModelPlacement,
  ) {
    this.tables = createLeaderTables(startedAtMs, timing);
  }

  serviceState(): ServiceState {
    const {config} = this.stateMachine.tables;
    return {
      outZones: new Set(config.outZones),
      outTargets: new Set(config.outTargets),
    };
  }

  /** Returns undefined for a heartbeat that was overtaken by a later one. */
  handleHeartbeat(heartbeat: Heartbeat, nowMs: number) {
    const {report, revision, replica} = heartbeat;
    const orders = handleReport(
      this.tables,
      report,
      this.serviceState(),
      this.timing,
      nowMs,
    );
    if (orders === undefined) return undefined;
    const {holder, instance, zone} = report;
    this.daemons.set(holder, {
      holder,
      instance,
      zone,
      revision,
      replica,
      lastSeenAtMs: nowMs,
    });
    return {orders, news: this.configUpdateFor(heartbeat)};
  }

  private configUpdateFor(heartbeat: Heartbeat): ConfigUpdate {
    const {tables} = this.stateMachine;
    const isCurrent =
      heartbeat.revision === tables.config.revision &&
      heartbeat.configHash === tables.configHash;
    if (isCurrent) return {kind: 'none'};
    const deltas = deltasSince(tables, heartbeat.revision);
    // No delta corrects an equal or later revision that has another hash.
    if (deltas === undefined || deltas.length === 0) {
      return {kind: 'whole', view: tables.config};
    }
    return {kind: 'deltas', deltas};
  }

  tick(nowMs: number, wallMs: number): void {
    leaderTick(this.tables, this.timing, nowMs);
    for (const [holder, row] of this.daemons) {
      if (nowMs - row.lastSeenAtMs > this.timing.targetRetentionMs) {
        this.daemons.delete(holder);
      }
    }
    this.abandonClaims(nowMs, wallMs);
    this.modelPlacement.tick(this.tables.targets, nowMs);
    void this.reconcileMembership(nowMs);
  }

  /** Ends the claims of entries that are gone; their outcomes are unknown. */
  private abandonClaims(nowMs: number, wallMs: number): void {
    if (nowMs < this.tables.graceEndMs) return;
    for (const holder of this.stateMachine.tables.ledger.keysByHolder.keys()) {
      const row = this.tables.entries.get(holder as HolderId);
      const isGone =
        row === undefined ||
        nowMs > row.leaseEndMs + this.timing.targetExpiryMs;
      if (!isGone || this.abandoningHolders.has(holder)) continue;
      this.abandoningHolders.add(holder);
      this.logger.warn('claims_abandoned', {holder});
      const command = JSON.stringify({kind: 'abandon', holder, atMs: wallMs});
      void this.node
        .submit(command)
        .finally(() => this.abandoningHolders.delete(holder));
    }
  }

  memberViews(nowMs: number): MemberView[] {
    const {raft} = this.node;
    const lastLogIndex = lastIndex(raft.log);
    return this.node.membership.replicas.map(replica => {
      const progress = raft.progress.get(replica.id);
      const isSelf = replica.id === this.node.id;
      return {
        replica: replica.id,
        instance: replica.instance,
        zone: this.zoneOf(replica.instance),
        role: replica.role,
        silentMs: isSelf
          ? 0
          : nowMs - (progress?.lastContactAtMs ?? this.startedAtMs),
        lagEntries: isSelf ? 0 : lastLogIndex - (progress?.matchIndex ?? 0),
      };
    });
  }

  private zoneOf(instance: string): string | undefined {
    for (const row of this.daemons.values()) {
      if (row.instance === instance) return row.zone;
    }
    return undefined;
  }

  /** Daemons with a disk that aren't members and sent a heartbeat recently. */
  private candidates(nowMs: number): CandidateView[] {
    const members = new Set<string>(
      this.node.membership.replicas.map(replica => replica.id),
    );
    const candidates: CandidateView[] = [];
    for (const row of this.daemons.values()) {
      const isRecent = nowMs - row.lastSeenAtMs < this.timing.leaseMs;
      if (!row.replica || !isRecent || members.has(row.replica.id)) continue;
      const {instance, zone} = row;
      candidates.push({replica: row.replica.id, instance, zone});
    }
    return candidates;
  }

  private toReplica(id: string): Replica | undefined {
    for (const row of this.daemons.values()) {
      if (row.replica?.id !== id) continue;
      const {address, port} = row.replica;
      return {
        id: id as ReplicaId,
        instance: row.instance,
        address,
        port,
        role: 'learner',
      };
    }
    return undefined;
  }

  private async reconcileMembership(nowMs: number): Promise<void> {
    if (this.isChangingMembership) return;
    const step = planMembership(
      this.memberViews(nowMs),
      this.candidates(nowMs),
      this.membershipGoal(),
    );
    if (step === undefined) return;
    this.isChangingMembership = true;
    try {
      await this.changeMembership(step);
    } finally {
      this.isChangingMembership = false;
    }
  }

  private async changeMembership(step: MembershipStep): Promise<void> {
    const id = step.replica as ReplicaId;
    const replica = this.toReplica(step.replica);
    const change =
      step.kind === 'add_learner'
        ? replica && {kind: 'add_learner' as const, replica}
        : {kind: step.kind, id};
    if (change === undefined) return;
    const result = await this.node.changeMembership(change);
    const outcome = result.isOk() ? 'proposed' : result.error.kind;
    this.logger.info('membership_change', {
      change: step.kind,
      replica: step.replica,
      outcome,
    });
  }
}

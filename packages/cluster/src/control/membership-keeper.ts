/**
 * Keeps the configured number of healthy voters in the control group, while
 * this daemon leads it: replaces voters that are lost, that announce that they
 * stop, or that stand in a crowded availability zone.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {
  planMembership,
  type CandidateView,
  type MembershipGoal,
  type MemberView,
} from '@samphirefield/control';
import type {Logger, ZoneId} from '@samphirefield/core';
import {
  isVoter,
  lastIndex,
  replicaId,
  votersOf,
  type MembershipChange,
  type Replica,
  type ReplicaId,
  type ReplicaNode,
} from '@samphirefield/replication';
import {formatAddress, type Address} from '../link/index.js';
import type {GroupTiming} from './group-replica.js';
import type {JoinRequest, LeaveOutcome} from './messages.js';

/**
 * A voter that is silent for this many of the longest election timeouts is
 * replaced: until then, the group may not bear the next loss.
 */
const REPLACE_AFTER_TIMEOUTS = 2;
const MAX_LAG_ENTRIES = 50;
const CANDIDATE_EXPIRY_MS = 1_500;
/** Time in which a daemon that leaves is replaced, or keeps its vote. */
const LEAVE_MAX_MS = 3_000;
const LEAVE_POLL_MS = 20;

export interface MembershipKeeperOptions {
  readonly node: ReplicaNode<unknown>;
  readonly voters: number;
  readonly replaceAfterMs?: number | undefined;
  readonly timing: GroupTiming;
  /** The zone of a member; undefined until its daemon has told it. */
  readonly zoneOf: (replica: Replica) => ZoneId | undefined;
  readonly logger: Logger;
  readonly nowMs: () => number;
}

export function toReplica(address: Address, id: ReplicaId): Replica {
  return {
    id,
    instance: formatAddress(address),
    address: address.host,
    port: address.port,
    role: 'voter',
  };
}

export class MembershipKeeper {
  private readonly candidates = new Map<
    ReplicaId,
    {request: JoinRequest; lastSeenAtMs: number}
  >();
  /** Daemons that stop soon, and until when that is assumed. */
  private readonly leaving = new Map<ReplicaId, number>();

  constructor(private readonly options: MembershipKeeperOptions) {}

  addCandidate(request: JoinRequest): void {
    const lastSeenAtMs = this.options.nowMs();
    this.candidates.set(request.replica, {request, lastSeenAtMs});
  }

  /**
   * Replaces a daemon that stops soon, if another one can take its part in the
   * group. Resolves once the stop costs the group no vote, or cannot be helped.
   */
  async release(id: ReplicaId): Promise<LeaveOutcome> {
    const {node, nowMs} = this.options;
    const untilMs = nowMs() + LEAVE_MAX_MS;
    this.leaving.set(id, untilMs);
    while (node.isLeader && nowMs() < untilMs) {
      if (!isVoter(node.committedMembership, id)) return 'released';
      if (!this.hasReplacement()) break;
      await delay(LEAVE_POLL_MS);
    }
    this.leaving.delete(id);
    return node.isLeader ? 'kept' : 'not_leader';
  }

  /** Proposes the next change, if one is due. */
  adjust(): void {
    const nowMs = this.options.nowMs();
    this.forgetExpired(nowMs);
    const step = planMembership(
      this.memberViews(nowMs),
      this.candidateViews(nowMs),
      this.goal,
    );
    if (step === undefined) return;
    const change = this.toChange(step.kind, replicaId(step.replica));
    if (change === undefined) return;
    const {node, logger} = this.options;
    void node.changeMembership(change).then(result => {
      if (result.isErr()) return;
      logger.info('membership_changed', {
        change: step.kind,
        replica: step.replica,
        term: node.raft.term,
      });
    });
  }

  private get goal(): MembershipGoal {
    const {voters, replaceAfterMs, timing} = this.options;
    const defaultMs = timing.electionTimeoutMaxMs * REPLACE_AFTER_TIMEOUTS;
    return {
      voters,
      preferredInstances: [],
      replaceAfterMs: replaceAfterMs ?? defaultMs,
      maxLagEntries: MAX_LAG_ENTRIES,
    };
  }

  private memberViews(nowMs: number): MemberView[] {
    const {node, zoneOf} = this.options;
    const {raft, membership} = node;
    const last = lastIndex(raft.log);
    return membership.replicas.map(replica => {
      const isSelf = replica.id === node.id;
      const progress = raft.progress.get(replica.id);
      return {
        replica: replica.id,
        instance: replica.instance,
        zone: zoneOf(replica),
        role: replica.role,
        silentMs: isSelf ? 0 : nowMs - (progress?.lastContactAtMs ?? nowMs),
        lagEntries: isSelf ? 0 : last - (progress?.matchIndex ?? 0),
        isLeaving: this.isLeaving(replica.id, nowMs),
      };
    });
  }

  /** Daemons that could join the group now. */
  private candidateViews(nowMs: number): CandidateView[] {
    const {replicas} = this.options.node.membership;
    const memberIds = new Set(replicas.map(({id}) => id));
    return [...this.candidates.values()]
      .filter(item => nowMs - item.lastSeenAtMs <= CANDIDATE_EXPIRY_MS)
      .map(item => item.request)
      .filter(({replica}) => !memberIds.has(replica))
      .filter(({replica}) => !this.isLeaving(replica, nowMs))
      .map(({replica, address, zone}) => ({
        replica,
        instance: formatAddress(address),
        zone,
      }));
  }

  private isLeaving(id: ReplicaId, nowMs: number): boolean {
    return nowMs < (this.leaving.get(id) ?? 0);
  }

  /** Whether a daemon could take over the vote of one that leaves. */
  private hasReplacement(): boolean {
    const {node, voters, nowMs} = this.options;
    const {replicas} = node.membership;
    const hasLearner = replicas.some(({role}) => role === 'learner');
    const hasSurplus = votersOf(node.membership).length > voters;
    const candidates = this.candidateViews(nowMs());
    return hasLearner || hasSurplus || candidates.length > 0;
  }

  private forgetExpired(nowMs: number): void {
    for (const [id, {lastSeenAtMs}] of this.candidates) {
      if (nowMs - lastSeenAtMs > CANDIDATE_EXPIRY_MS)
        this.candidates.delete(id);
    }
    for (const [id, untilMs] of this.leaving) {
      if (nowMs >= untilMs) this.leaving.delete(id);
    }
  }

  private toChange(
    kind: MembershipChange['kind'],
    id: ReplicaId,
  ): MembershipChange | undefined {
    if (kind !== 'add_learner') return {kind, id};
    const candidate = this.candidates.get(id);
    if (candidate === undefined) return undefined;
    return {kind, replica: toReplica(candidate.request.address, id)};
  }
}

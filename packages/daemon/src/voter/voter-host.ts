/**
 * Hosts a replica of the control group on this daemon and, while the replica is
 * the leader, the leader's tables. Serves the calls of the other daemons.
 */
import {randomInt} from 'node:crypto';
import {err, ok, type Result} from 'neverthrow';
import {
  type Fingerprint,
  type Logger,
  type Settings,
} from '@samphirefield/core';
import {
  ControlStateMachine,
  lookUpKey,
  type ControlResult,
  type LedgerResult,
  type LedgerCommand,
  type MembershipGoal,
  type OperatorResult,
} from '@samphirefield/control';
import type {AllocationTiming} from '@samphirefield/policy';
import {
  formatStorageError,
  lockFolder,
  openFileStorage,
  openIdentity,
  ReplicaNode,
  votersOf,
  type Envelope,
  type FolderLock,
  type Identity,
  type OpenedStorage,
  type RaftConfig,
  type Replica,
  type ReplicaId,
} from '@samphirefield/replication';
import type {Clock} from '../clock/index.js';
import type {
  Heartbeat,
  OperatorRequest,
  PeerAddress,
  RpcClient,
} from '../rpc/index.js';
import {Leadership} from './leadership.js';
import {PeerSender} from './peer-sender.js';
import {ModelPlacement} from './model-placement.js';
import {ActiveRules} from './active-rules.js';
import {validateChange} from './validate-change.js';
import {buildStatus} from './status.js';
import type {
  ApplyResponse,
  BootstrapResponse,
  ConfigResponse,
  HeartbeatResponse,
  DaemonAddress,
  NotLeader,
  OperatorOutcome,
  OrderSender,
  StatusResponse,
} from './types.js';

const RAFT_TICK_MS = 40;
const LEADER_TICK_MS = 200;
const RAFT_HEARTBEATS_PER_TIMEOUT = 3;
const SNAPSHOT_EVERY_ENTRIES = 20_000;
const SNAPSHOT_EVERY_BYTES = 33_554_432;
const TARGET_RETENTION_MS = 600_000;
const DEFAULT_VOTERS = 3;
const DEFAULT_REPLACE_AFTER_S = 60;
const MS_PER_S = 1_000;
const MAX_LEARNER_LAG_ENTRIES = 100;

export interface VoterHostOptions {
  readonly settings: Settings;
  readonly dataFolder: string;
  readonly rpc: RpcClient;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly sendOrder: OrderSender;
  /** Address of an instance's daemon, used before the members are known. */
  readonly addressOf: (instance: string) => PeerAddress | undefined;
}

function raftConfig(settings: Settings, identity: Identity): RaftConfig {
  const {timing} = settings;
  return {
    id: identity.replica,
    heartbeatMs: Math.ceil(
      timing.election_timeout_min_ms / RAFT_HEARTBEATS_PER_TIMEOUT,
    ),
    electionTimeoutMinMs: timing.election_timeout_min_ms,
    electionTimeoutMaxMs: timing.election_timeout_max_ms,
    clockDriftMs: timing.clock_drift_ms,
    maxEntriesPerMessage: 512,
    maxBytesPerMessage: 1_048_576,
    maxMessagesInFlight: 32,
    maxBytesInFlight: 2_097_152,
    snapshotChunkBytes: 262_144,
    randomBelow: bound => randomInt(bound),
  };
}

/** Address for calls of other daemons; the list of voters takes precedence. */
export function advertisedAddress(settings: Settings): PeerAddress {
  const {instance, internal, cluster} = settings;
  const listed = cluster.voters.find(voter => voter.id === instance.id);
  const {address, port} = listed ?? internal;
  return {address, port};
}

export function allocationTiming(settings: Settings): AllocationTiming {
  const {timing} = settings;
  return {
    leaseMs: timing.view_lease_ms,
    clockDriftMs: timing.clock_drift_ms,
    targetExpiryMs: timing.target_lapse_ms,
    targetRetentionMs: TARGET_RETENTION_MS,
    quarantineMs: timing.quarantine_ms,
  };
}

/** Returns the instance that created a replica, which its id starts with. */
function instanceOf(id: ReplicaId): string {
  return id.split('/')[0] ?? '';
}

function toDaemonAddress(replica: Replica): DaemonAddress {
  const {instance, address, port} = replica;
  return {instance, address, port};
}

/** Resets known versions that refer to the tables of another leader. */
function resetKnownVersions(heartbeat: Heartbeat, term: number): Heartbeat {
  if (heartbeat.knownTerm === term) return heartbeat;
  const report = {
    ...heartbeat.report,
    knownTargetsVersion: 0,
    knownQuarantineVersion: -1,
  };
  return {...heartbeat, report};
}

export class VoterHost {
  readonly stateMachine: ControlStateMachine;
  private readonly rules: ActiveRules;
  private leadership: Leadership | undefined;
  private readonly senders = new Map<string, PeerSender>();
  private readonly timers: NodeJS.Timeout[] = [];
  private wasLeader = false;

  private constructor(
    private readonly options: VoterHostOptions,
    private readonly identity: Identity,
    private readonly lock: FolderLock,
    opened: OpenedStorage,
  ) {
    this.stateMachine = new ControlStateMachine();
    this.rules = new ActiveRules(this.stateMachine);
    this.node = new ReplicaNode<ControlResult>({
      config: raftConfig(options.settings, identity),
      storage: opened.storage,
      stored: opened.stored,
      stateMachine: this.stateMachine,
      send: envelopes => this.send(envelopes),
      nowMs: options.clock.nowMs,
      onFailure: error => {
        options.logger.error('voter_stopped', {reason: error.message});
      },
      snapshotEveryEntries: SNAPSHOT_EVERY_ENTRIES,
      snapshotEveryBytes: SNAPSHOT_EVERY_BYTES,
    });
  }

  readonly node: ReplicaNode<ControlResult>;

  /** Opens the data folder; fails when it is locked, damaged or another's. */
  static async open(
    options: VoterHostOptions,
  ): Promise<Result<VoterHost, string>> {
    const {settings, dataFolder, logger} = options;
    const {id, deployment} = settings.instance;
    const lock = lockFolder(dataFolder);
    if (lock.isErr()) return err(formatStorageError(lock.error));
    const identity = openIdentity(dataFolder, id, deployment);
    if (identity.isErr()) {
      lock.value.release();
      return err(formatStorageError(identity.error));
    }
    const opened = await openFileStorage(dataFolder);
    if (opened.isErr()) {
      lock.value.release();
      return err(formatStorageError(opened.error));
    }
    const {truncatedBytes, entries, snapshot} = opened.value.stored;
    logger.info('voter_opened', {
      replica: identity.value.replica,
      entries: entries.length,
      snapshot: snapshot?.index ?? 0,
      cut_bytes: truncatedBytes,
    });
    return ok(new VoterHost(options, identity.value, lock.value, opened.value));
  }

  start(): void {
    this.timers.push(
      setInterval(() => this.node.tick(), RAFT_TICK_MS),
      setInterval(() => this.tickLeader(), LEADER_TICK_MS),
    );
  }

  async stop(): Promise<void> {
    for (const timer of this.timers) clearInterval(timer);
    if (this.node.isLeader) await this.node.transferLeadership();
    await this.node.stop('the daemon stops');
    this.lock.release();
  }

  get replicaId(): Identity['replica'] {
    return this.identity.replica;
  }

  receive(envelope: Envelope): void {
    if (envelope.to !== this.identity.replica) return;
    this.node.receive(envelope.from, envelope.message);
  }

  leaderHint(): DaemonAddress | undefined {
    const {leader} = this.node.raft;
    const replica = this.node.membership.replicas.find(
      item => item.id === leader,
    );
    return replica && toDaemonAddress(replica);
  }

  handleHeartbeat(heartbeat: Heartbeat): HeartbeatResponse {
    const leadership = this.activeLeadership();
    if (leadership === undefined) return this.notLeader();
    const nowMs = this.options.clock.nowMs();
    const response = leadership.handleHeartbeat(
      resetKnownVersions(heartbeat, leadership.term),
      nowMs,
    );
    if (response === undefined) return {kind: 'overtaken'};
    return {
      kind: 'ok',
      leaderInstance: this.options.settings.instance.id,
      term: leadership.term,
      orders: response.orders,
      news: response.news,
      voters: votersOf(this.node.membership).map(toDaemonAddress),
    };
  }

  async applyLedger(
    command: LedgerCommand,
  ): Promise<ApplyResponse<LedgerResult>> {
    const response = await this.submit(command);
    return response as ApplyResponse<LedgerResult>;
  }

  peek(
    key: string,
    fingerprint: Fingerprint,
  ): ApplyResponse<LedgerResult | undefined> {
    if (this.activeLeadership() === undefined) return this.notLeader();
    const result = lookUpKey(this.stateMachine.tables.ledger, key, fingerprint);
    return {kind: 'applied', answer: result};
  }

  async handleOperator(request: OperatorRequest): Promise<OperatorOutcome> {
    const leadership = this.activeLeadership();
    if (leadership === undefined) return this.notLeader();
    const refusal = validateChange(leadership, this.stateMachine, request);
    if (refusal) return refusal;
    const {commandId, baseRevision, operator, change} = request;
    const atMs = this.options.clock.wallMs();
    const response = await this.submit({
      kind: 'operator',
      commandId,
      baseRevision,
      operator,
      change,
      atMs,
    });
    if (response.kind !== 'applied') return response;
    const result = response.answer as OperatorResult;
    this.options.logger.info('operator_command', {
      command: commandId,
      operator,
      change: change.kind,
      answer: result.kind,
      revision: result.revision,
    });
    return {kind: 'answered', answer: result};
  }

  config(): ConfigResponse {
    if (this.activeLeadership() === undefined) return this.notLeader();
    return {kind: 'ok', view: this.stateMachine.tables.config};
  }

  status(): StatusResponse {
    const leadership = this.activeLeadership();
    if (leadership === undefined) return this.notLeader();
    const nowMs = this.options.clock.nowMs();
    const leader = this.options.settings.instance.id;
    return {
      kind: 'ok',
      status: buildStatus(leader, leadership, this.stateMachine, nowMs),
    };
  }

  /** Forms a new group; refused when this replica was ever a member of one. */
  async bootstrap(): Promise<BootstrapResponse> {
    const {settings} = this.options;
    const self: Replica = {
      id: this.identity.replica,
      instance: settings.instance.id,
      ...advertisedAddress(settings),
      role: 'voter',
    };
    const result = await this.node.bootstrap({replicas: [self]});
    if (result.isOk()) return {kind: 'ok', replica: self.id};
    const {error} = result;
    const reason = error.kind === 'invalid_change' ? error.reason : error.kind;
    return {kind: 'refused', reason};
  }

  private async submit(command: object): Promise<ApplyResponse<ControlResult>> {
    if (this.activeLeadership() === undefined) return this.notLeader();
    const result = await this.node.submit(JSON.stringify(command));
    if (result.isOk()) return {kind: 'applied', answer: result.value};
    return result.error.kind === 'not_leader'
      ? this.notLeader()
      : {kind: 'unknown_outcome'};
  }

  private notLeader(): NotLeader {
    return {kind: 'not_leader', leader: this.leaderHint()};
  }

  /** Returns the leader's tables while this replica holds the leader lease. */
  private activeLeadership(): Leadership | undefined {
    if (!this.node.holdsLease()) return undefined;
    const {term} = this.node.raft;
    if (this.leadership?.term !== term) {
      this.leadership = this.startLeadership(term);
      this.options.logger.info('leadership_taken', {term});
    }
    return this.leadership;
  }

  private startLeadership(term: number): Leadership {
    const {clock, settings, logger, sendOrder} = this.options;
    const nowMs = clock.nowMs();
    const modelPlacement = new ModelPlacement({
      rules: this.rules,
      logger,
      // Checks the lease again before sending: leadership may have been lost.
      send: (order, announcement, timeoutMs) =>
        this.node.holdsLease()
          ? sendOrder(order, announcement, timeoutMs)
          : Promise.resolve(err('not_sent' as const)),
      epoch: term,
      leaderSinceMs: nowMs,
      previousLeaseMs: settings.timing.election_timeout_max_ms,
    });
    return new Leadership(
      term,
      this.node,
      this.stateMachine,
      allocationTiming(settings),
      () => this.membershipGoal(),
      logger,
      nowMs,
      modelPlacement,
    );
  }

  private membershipGoal(): MembershipGoal {
    const {cluster} = this.options.settings;
    const rule = this.rules.current()?.voters;
    return {
      voters: rule?.count ?? DEFAULT_VOTERS,
      preferredInstances: cluster.voters.map(voter => voter.id),
      replaceAfterMs:
        (rule?.replaceAfterS ?? DEFAULT_REPLACE_AFTER_S) * MS_PER_S,
      maxLagEntries: MAX_LEARNER_LAG_ENTRIES,
    };
  }

  private tickLeader(): void {
    const leadership = this.activeLeadership();
    if (leadership) {
      const {clock} = this.options;
      leadership.tick(clock.nowMs(), clock.wallMs());
    }
    const isLeader = leadership !== undefined;
    if (this.wasLeader && !isLeader) {
      this.options.logger.info('leadership_lost', {term: this.node.raft.term});
    }
    this.wasLeader = isLeader;
  }

  private send(envelopes: readonly Envelope[]): void {
    for (const envelope of envelopes) {
      const member = this.node.membership.replicas.find(
        item => item.id === envelope.to,
      );
      const peer = member ?? this.options.addressOf(instanceOf(envelope.to));
      if (peer) this.senderFor(peer).send(envelope);
    }
  }

  private senderFor(peer: PeerAddress): PeerSender {
    const key = `${peer.address} ${peer.port}`;
    const existing = this.senders.get(key);
    if (existing) return existing;
    const {rpc, settings} = this.options;
    const sender = new PeerSender(rpc, peer, settings.timing.rpc_timeout_ms);
    this.senders.set(key, sender);
    return sender;
  }
}

/**
 * This daemon's replica of the control group: opens its storage, forms the
 * initial group from the seeds, and requests to join later.
 */
import {randomInt, randomUUID} from 'node:crypto';
import {mkdirSync} from 'node:fs';
import {err, ok, type Result} from 'neverthrow';
import type {Logger, ZoneId} from '@samphirefield/core';
import type {QuarantineTable} from '@samphirefield/policy/quarantine';
import {
  formatStorageError,
  isVoter,
  openFileStorage,
  openIdentity,
  replicaId,
  ReplicaNode,
  votersOf,
  type Envelope,
  type RaftConfig,
  type Replica,
  type ReplicaId,
  type StorageError,
} from '@samphirefield/replication';
import {formatAddress, type Address} from '../link/index.js';
import {
  ClusterStateMachine,
  type ClusterResult,
  type ClusterCommand,
  type ClusterState,
} from './state-machine.js';
import {MembershipKeeper, toReplica} from './membership-keeper.js';
import type {JoinRequest} from './messages.js';

const DEPLOYMENT = 'samphirefield';
/**
 * Marks replicas of the initial group, whose ids are derived from the seeds.
 */
const INITIAL_GROUP = 'first';
const SNAPSHOT_EVERY_ENTRIES = 400;
/** Bounds the log on disk and in memory, whatever the size of changes. */
const SNAPSHOT_EVERY_BYTES = 4_194_304;

export interface GroupTiming {
  readonly heartbeatMs: number;
  readonly electionTimeoutMinMs: number;
  readonly electionTimeoutMaxMs: number;
  readonly clockDriftMs: number;
}

export interface GroupReplicaOptions {
  readonly dataFolder: string;
  /** Address at which the other daemons reach this one. */
  readonly address: Address;
  readonly zone: ZoneId;
  readonly seeds: readonly Address[];
  /** Whether this is the first start of the whole deployment. */
  readonly isFirstStart: boolean;
  readonly timing: GroupTiming;
  /** Number of voters that the leader maintains; odd. */
  readonly voters: number;
  /**
   * A voter that is silent for this long is replaced. Default: twice the
   * longest election timeout.
   */
  readonly replaceAfterMs?: number | undefined;
  /** The zone of a member; undefined until its daemon has told it. */
  readonly zoneOf: (replica: Replica) => ZoneId | undefined;
  readonly logger: Logger;
  readonly nowMs: () => number;
  readonly send: (envelope: Envelope, to: Address) => void;
  readonly onChange: (state: ClusterState) => void;
  readonly onQuarantineChange: (table: QuarantineTable) => void;
  readonly onDiskFailure: (error: Error) => void;
  /** Default: files in the data folder. */
  readonly openStorage?: typeof openFileStorage;
}

export interface OpenError {
  /** Whether the disk refuses for now; otherwise what it holds is refused. */
  readonly isPassing: boolean;
  readonly reason: string;
}

function toOpenError(error: StorageError): OpenError {
  return {
    isPassing: error.kind === 'disk',
    reason: formatStorageError(error),
  };
}

export type SubmitOutcome =
  | {readonly kind: 'applied'; readonly answer: ClusterResult}
  | {readonly kind: 'not_leader'}
  | {readonly kind: 'unknown'; readonly reason: string};

function raftConfig(id: ReplicaId, timing: GroupTiming): RaftConfig {
  return {
    id,
    ...timing,
    maxEntriesPerMessage: 256,
    maxBytesPerMessage: 1_048_576,
    maxMessagesInFlight: 16,
    maxBytesInFlight: 2_097_152,
    snapshotChunkBytes: 262_144,
    randomBelow: bound => randomInt(bound),
  };
}

const addressOf = (replica: Replica): Address => ({
  host: replica.address,
  port: replica.port,
});

export class GroupReplica {
  private readonly replyAddresses = new Map<ReplicaId, Address>();
  /** Which daemons should be members; acts while this one leads. */
  readonly membership: MembershipKeeper;

  private constructor(
    private readonly options: GroupReplicaOptions,
    private readonly stateMachine: ClusterStateMachine,
    readonly node: ReplicaNode<ClusterResult>,
  ) {
    this.membership = new MembershipKeeper({...options, node});
  }

  static async open(
    options: GroupReplicaOptions,
  ): Promise<Result<GroupReplica, OpenError>> {
    const {dataFolder, address, seeds, logger, timing} = options;
    const self = formatAddress(address);
    const isSeed = seeds.some(seed => formatAddress(seed) === self);
    const isFirst = options.isFirstStart && isSeed;
    try {
      mkdirSync(dataFolder, {recursive: true});
    } catch (error) {
      return err({isPassing: true, reason: (error as Error).message});
    }
    const identity = openIdentity(dataFolder, self, DEPLOYMENT, () =>
      isFirst ? INITIAL_GROUP : randomUUID(),
    );
    if (identity.isErr()) return err(toOpenError(identity.error));
    const {openStorage = openFileStorage} = options;
    const opened = await openStorage(dataFolder);
    if (opened.isErr()) return err(toOpenError(opened.error));
    const {storage, stored} = opened.value;
    logger.info('replica_opened', {
      replica: identity.value.replica,
      entries: stored.entries.length,
      snapshot: stored.snapshot?.index ?? 0,
      cut_bytes: stored.truncatedBytes,
      term: stored.hardState.term,
    });
    const stateMachine = new ClusterStateMachine(options);
    const node = new ReplicaNode<ClusterResult>({
      config: raftConfig(identity.value.replica, timing),
      storage,
      stored,
      stateMachine,
      nowMs: options.nowMs,
      send: envelopes => group.send(envelopes),
      onFailure: options.onDiskFailure,
      snapshotEveryEntries: SNAPSHOT_EVERY_ENTRIES,
      snapshotEveryBytes: SNAPSHOT_EVERY_BYTES,
    });
    const group = new GroupReplica(options, stateMachine, node);
    if (isFirst && !node.hasJoinedGroup) {
      const replicas = seeds.map(seed =>
        toReplica(seed, replicaId(`${formatAddress(seed)}/${INITIAL_GROUP}`)),
      );
      await node.bootstrap({replicas});
      logger.info('group_formed', {members: replicas.length});
    }
    return ok(group);
  }

  get state(): ClusterState {
    return this.stateMachine.state;
  }

  get quarantine(): QuarantineTable {
    return this.stateMachine.quarantine;
  }

  get isLeader(): boolean {
    return this.node.isLeader;
  }

  /** Whether no other daemon can have been elected by now. */
  get holdsLease(): boolean {
    return this.node.holdsLease();
  }

  get term(): number {
    return this.node.raft.term;
  }

  get leader(): Address | undefined {
    const {leader} = this.node.raft;
    const replica = this.node.membership.replicas.find(
      item => item.id === leader,
    );
    return replica && addressOf(replica);
  }

  get isVoter(): boolean {
    return isVoter(this.node.membership, this.node.id);
  }

  get voterCount(): number {
    return votersOf(this.node.membership).length;
  }

  get members(): Address[] {
    return this.node.membership.replicas.map(addressOf);
  }

  /** The request of this replica to join the group, again if it was replaced. */
  get joinRequest(): JoinRequest {
    const {address, zone} = this.options;
    return {replica: this.node.id, address, zone};
  }

  tick(): void {
    this.node.tick();
    if (this.isLeader) this.membership.adjust();
  }

  receive(envelope: Envelope, replyTo: Address): void {
    if (envelope.to !== this.node.id) return;
    this.replyAddresses.set(envelope.from, replyTo);
    this.node.receive(envelope.from, envelope.message);
  }

  async submit(command: ClusterCommand): Promise<SubmitOutcome> {
    const result = await this.node.submit(JSON.stringify(command));
    if (result.isOk()) return {kind: 'applied', answer: result.value};
    const {error} = result;
    if (error.kind === 'not_leader') return {kind: 'not_leader'};
    return {kind: 'unknown', reason: error.kind};
  }

  /**
   * Returns the newest state; undefined if this daemon is no confirmed leader.
   */
  async readNewest(timeoutMs: number): Promise<ClusterState | undefined> {
    if (!this.isLeader) return undefined;
    const isConfirmed = await this.node.confirmLeadership(timeoutMs);
    return isConfirmed ? this.state : undefined;
  }

  /** Hands the leadership over to a voter with the complete log, if any. */
  async transferLeadership(): Promise<void> {
    await this.node.transferLeadership();
  }

  async stop(reason: string): Promise<void> {
    if (this.isLeader) await this.node.transferLeadership();
    await this.node.stop(reason);
  }

  private send(envelopes: readonly Envelope[]): void {
    for (const envelope of envelopes) {
      const member = this.node.membership.replicas.find(
        item => item.id === envelope.to,
      );
      const address = member
        ? addressOf(member)
        : this.replyAddresses.get(envelope.to);
      if (address) this.options.send(envelope, address);
    }
  }
}

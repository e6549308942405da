/**
 * A control daemon: a replica of the control group, the registry of targets
 * and, while it is the leader, the reservations on engines.
 */
import {err, ok, type Result} from 'neverthrow';
import type {TargetId} from '@samphirefield/core';
import type {TargetAnnouncement} from '@samphirefield/gateway';
import {viewOf, type QuarantineTable} from '@samphirefield/policy/quarantine';
import {DocumentHistory} from '../documents/index.js';
import {
  formatAddress,
  LinkSet,
  listenForLinks,
  serializeNotification,
  type Address,
  type LinkListener,
  type Peer,
  type RpcHandlers,
} from '../link/index.js';
import {ActiveCapacities} from './active-capacities.js';
import {ControlDirectory} from './control-directory.js';
import {
  DEFAULT_ROLLOUT_LIMITS,
  type ControlNodeOptions,
} from './control-options.js';
import {GroupAccess} from './group-access.js';
import {GroupHost} from './group-host.js';
import type {GroupReplica} from './group-replica.js';
import {QuarantineKeeper} from './quarantine-keeper.js';
import {RolloutKeeper} from './rollout-keeper.js';
import {situationOf} from './rollout-situation.js';
import type {RolloutRequest} from './rollout-state.js';
import type {ClusterCommand, ClusterState} from './state-machine.js';
import {leaveGroup} from './leaving.js';
import {createLinkHandlers} from './link-handlers.js';
import type {GroupStatus, JoinRequest} from './messages.js';
import {
  OperatorChanges,
  type ChangeOutcome,
  type RolloutOrderOutcome,
} from './operator-changes.js';
import {PeerSessions} from './peer-sessions.js';
import {PendingRenewals} from './pending-renewals.js';
import {QuorumContact} from './quorum-contact.js';
import {RelayDirectory} from './relay-directory.js';
import {ReservationManager} from './reservations.js';
import {TargetRegistry} from './target-registry.js';
import {StatementKeeper} from './statement-keeper.js';
import {TargetLoadKeeper} from './target-load-keeper.js';
import {StatusReporter} from './status-reporter.js';
import {Subscribers} from './subscribers.js';

const TICK_MS = 50;
const JOIN_EVERY_MS = 500;
const SEND_RENEWALS_EVERY_MS = 300;
const REGISTRY_TICK_MS = 250;
const SEND_RELAY_PEERS_EVERY_MS = 1_000;

export class ControlNode {
  private readonly host: GroupHost;
  private readonly registry: TargetRegistry;
  private readonly links: LinkSet;
  private readonly reservations: ReservationManager;
  private readonly documents = new DocumentHistory();
  private readonly subscribers = new Subscribers();
  private readonly relays = new RelayDirectory(this.subscribers);
  private readonly contact: QuorumContact;
  private readonly access: GroupAccess;
  private readonly status: StatusReporter;
  private readonly quarantine: QuarantineKeeper;
  private readonly statements: StatementKeeper;
  private readonly targetLoads: TargetLoadKeeper;
  private readonly rollouts: RolloutKeeper;
  private readonly operators: OperatorChanges;
  private readonly sessions: PeerSessions;
  private readonly capacities: ActiveCapacities;
  private readonly directory: ControlDirectory;
  private readonly renewals = new PendingRenewals(this.subscribers);
  private listener: LinkListener | undefined;
  private readonly timers: NodeJS.Timeout[] = [];
  private isUpdateScheduled = false;

  constructor(private readonly options: ControlNodeOptions) {
    const {logger, nowMs} = options;
    this.capacities = new ActiveCapacities({
      ...options,
      documents: this.documents,
    });
    this.directory = new ControlDirectory({
      self: options.address,
      selfZone: options.zone,
      links: () => this.links,
    });
    this.host = this.createHost();
    this.registry = new TargetRegistry({
      silentAfterMs: options.targetSilentAfterMs,
      logger,
      nowMs,
      onChange: (record, isSilent) => {
        this.reservations.setTarget(record, isSilent);
        const update = {...this.registry.toUpdate(record), isSilent};
        this.subscribers.sendTargets('entry', [update]);
        const {id, bornMs, state} = record.announcement;
        if (!isSilent && state !== 'gone')
          this.quarantine.retract({target: id, bornMs});
      },
      onRemoved: id => {
        this.reservations.removeTarget(id);
        this.statements.forget(id);
        this.targetLoads.forget(id);
      },
      onDirectAnnouncement: (record, isChange) => {
        const update = this.registry.toUpdate(record);
        if (isChange) this.subscribers.sendTargets('control', [update]);
        else this.renewals.add(update);
      },
    });
    this.statements = new StatementKeeper({
      logger,
      nowMs,
      startOf: id => {
        const bornMs = this.registry.find(id)?.announcement.bornMs;
        return bornMs === undefined ? undefined : {target: id, bornMs};
      },
      serviceOf: id => this.registry.find(id)?.announcement.service,
      spread: reports => this.subscribers.sendStatements({reports}),
    });
    this.targetLoads = new TargetLoadKeeper({
      logger,
      nowMs,
      serviceOf: id => this.registry.find(id)?.announcement.service,
    });
    this.rollouts = this.createRolloutKeeper();
    this.reservations = new ReservationManager({
      logger,
      nowMs,
      limiter: this.statements,
      speeds: this.targetLoads,
      usesAdmission: options.usesAdmission,
      versions: this.rollouts.gate,
    });
    this.access = new GroupAccess({
      group: () => this.group,
      leaderPeer: () => this.leaderPeer(),
      logger,
    });
    this.status = new StatusReporter({
      self: options.address,
      group: () => this.group,
      subscribers: this.subscribers,
      logger,
      nowMs,
    });
    this.quarantine = new QuarantineKeeper({
      logger,
      nowMs,
      isLeader: () => this.isLeader,
      table: () => this.group?.quarantine,
      submit: async command => {
        const outcome = await this.group?.submit(command);
        return outcome?.kind === 'applied';
      },
    });
    this.operators = new OperatorChanges({
      access: this.access,
      rollouts: this.rollouts,
      isLeader: () => this.isLeader,
      logger,
      nowMs,
      wallMs: this.wallMs,
    });
    this.sessions = new PeerSessions({
      ...options,
      group: () => this.group,
      isLeader: () => this.isLeader,
      subscribers: this.subscribers,
      status: this.status,
      registry: this.registry,
      reservations: this.reservations,
      statements: this.statements,
      onControl: (address, zone) => this.directory.note(address, zone),
    });
    this.links = new LinkSet(this.handlers(), {
      onUp: (_address, peer) => {
        this.sessions.sendHello(peer);
        void peer.askFeatures();
      },
      onDown: (address, reason) => {
        logger.warn('control_link_down', {
          peer: formatAddress(address),
          reason,
        });
        this.sessions.countOversized(reason);
      },
    });
    this.contact = new QuorumContact({
      self: options.address,
      links: this.links,
      logger,
    });
  }

  async start(): Promise<Result<void, string>> {
    const {address, seeds} = this.options;
    const started = await this.host.start();
    if (started.isErr()) return err(started.error);
    this.listener = await listenForLinks(
      address,
      this.handlers(),
      peer => this.sessions.onClosed(peer),
      this.options.logger,
    );
    this.directory.linkTo(seeds);
    this.every(TICK_MS, () => this.tick());
    this.every(JOIN_EVERY_MS, () => this.sendJoinRequests());
    this.every(SEND_RENEWALS_EVERY_MS, () => this.renewals.send());
    this.every(SEND_RELAY_PEERS_EVERY_MS, () => this.relays.sendIfChanged());
    this.every(REGISTRY_TICK_MS, () => {
      this.registry.tick();
      this.reservations.tick();
      this.quarantine.tick();
      this.rollouts.decideAll();
    });
    return ok(undefined);
  }

  /** Undefined while the storage of the replica is not open. */
  private get group(): GroupReplica | undefined {
    return this.host.group;
  }

  get isLeader(): boolean {
    return this.group?.isLeader ?? false;
  }

  /** Links to the seeds of reloaded settings. */
  addSeeds(seeds: readonly Address[]): void {
    this.directory.linkTo(seeds);
  }

  /**
   * Applies an announcement that a target sent to this daemon. Returns whether
   * the other control daemons can receive it; if not, the target has to
   * announce itself to another daemon.
   */
  announce(announcement: TargetAnnouncement): boolean {
    this.registry.announce(announcement);
    return this.checkContact();
  }

  /** Deregisters a target; returns the same as {@link announce}. */
  deregister(id: TargetId): boolean {
    this.registry.deregister(id);
    return this.checkContact();
  }

  /**
   * Resolves to `accepted` once the change is durable on a quorum, or to
   * `unavailable` if that cannot be confirmed.
   */
  change(command: ClusterCommand): Promise<ChangeOutcome> {
    return this.operators.change(command);
  }

  /**
   * Orders a rollout. Resolves to `accepted` once it is durable on a quorum, or
   * if the same order was accepted before.
   */
  startRollout(request: RolloutRequest): Promise<RolloutOrderOutcome> {
    return this.operators.startRollout(request);
  }

  /**
   * Returns the newest accepted state; undefined if no reachable leader can
   * confirm it.
   */
  readNewest(): Promise<ClusterState | undefined> {
    return this.access.readNewest();
  }

  /** Waiting and refused demands by priority. */
  metricsByPriority(): Record<string, ReadonlyMap<number, number>> {
    return {
      places_waiting_by_priority: this.reservations.pendingByPriority,
      places_refused_by_priority: this.reservations.refusedByPriority,
    };
  }

  metrics(): Record<string, number> {
    return {
      leader: this.isLeader ? 1 : 0,
      term: this.group?.term ?? 0,
      state_index: this.group?.state.index ?? 0,
      has_quorum_contact: this.contact.hasContact ? 1 : 0,
      is_voter: this.group?.isVoter ? 1 : 0,
      voters: this.group?.voterCount ?? 0,
      members: this.group?.members.length ?? 0,
      targets: this.registry.size,
      subscribers: this.subscribers.count,
      links_closed_for_size: this.sessions.oversizedCount,
      places_waiting: this.reservations.pendingCount,
      rollouts_running: this.rollouts.runningCount,
      places_held: this.reservations.heldCount,
      ...this.targetLoads.metrics(),
      choices_by_speed: this.reservations.choicesBySpeed,
    };
  }

  /**
   * Gives up the leadership and the vote before a planned stop, so that the
   * group bears as many losses after it as before. Resolves early if no daemon
   * can take the vote.
   */
  leave(timeoutMs: number): Promise<void> {
    const {logger, nowMs} = this.options;
    return leaveGroup(
      {
        group: () => this.group,
        leaderPeer: () => this.leaderPeer(),
        logger,
        nowMs,
      },
      timeoutMs,
    );
  }

  async stop(): Promise<void> {
    for (const timer of this.timers) clearInterval(timer);
    await this.host.stop();
    this.links.close();
    this.listener?.close();
  }

  private every(ms: number, run: () => void): void {
    this.timers.push(setInterval(run, ms));
  }

  private createHost(): GroupHost {
    const {options} = this;
    return new GroupHost({
      dataFolder: options.dataFolder,
      address: options.address,
      zone: options.zone,
      seeds: options.seeds,
      isFirstStart: options.isFirstStart,
      timing: options.timing,
      voters: options.voters,
      replaceAfterMs: options.replaceAfterMs,
      zoneOf: replica => this.directory.zoneOf(replica.instance),
      logger: options.logger,
      nowMs: options.nowMs,
      send: (envelope, to) => {
        const message = {envelope, replyTo: options.address};
        const peer = this.links.peerAt(to);
        peer?.notifyLine(serializeNotification('raft', message));
      },
      onChange: ({version, document}) => {
        this.documents.record(version, document);
        this.scheduleStateUpdate();
      },
      onQuarantineChange: table => this.sendQuarantine(table),
      onOpened: () => this.scheduleStateUpdate(),
      ...(options.openStorage && {openStorage: options.openStorage}),
    });
  }

  private get wallMs(): () => number {
    return this.options.rollouts?.wallMs ?? Date.now;
  }

  private createRolloutKeeper(): RolloutKeeper {
    const {logger, nowMs, rollouts} = this.options;
    return new RolloutKeeper({
      limits: rollouts?.limits ?? DEFAULT_ROLLOUT_LIMITS,
      logger,
      nowMs,
      wallMs: this.wallMs,
      leadingTerm: () => (this.isLeader ? this.group!.term : undefined),
      holdsLease: () => this.group?.holdsLease ?? false,
      rollouts: () => this.group?.state.rollouts ?? [],
      situationOf: rollout =>
        situationOf(rollout, {
          targets: this.registry.readyTargets(),
          zonesOut: this.group?.state.zonesOut ?? [],
          isLeaving: ({id}) => this.statements.isLeaving(id),
        }),
      entries: () => this.subscribers.entries,
      areCommandsKnown: () => this.subscribers.doAllHandleRollouts,
      submit: async command =>
        (await this.group?.submit(command)) ?? {kind: 'not_leader'},
    });
  }

  private handlers(): RpcHandlers {
    return createLinkHandlers({
      group: () => this.group,
      isLeader: () => this.isLeader,
      startTermIfLeader: () => this.startTermIfLeader(),
      readNewest: () => this.access.readNewestShared(),
      documents: this.documents,
      registry: this.registry,
      reservations: this.reservations,
      quarantine: this.quarantine,
      statements: this.statements,
      targetLoads: this.targetLoads,
      rollouts: this.rollouts,
      linkTo: addresses => this.directory.linkTo(addresses),
      onHello: (hello, peer) => this.sessions.onHello(hello, peer),
      onStatus: status => this.onStatus(status),
      onJoin: request => this.onJoin(request),
    });
  }

  private onJoin(request: JoinRequest): void {
    this.directory.note(request.address, request.zone);
    this.group?.membership.addCandidate(request);
  }

  private onStatus(status: GroupStatus): void {
    this.directory.linkTo(status.members);
    // Without a leader, the members may be known from hearsay.
    if (status.leader) this.contact.noteReportedMembers(status.members);
    this.status.noteReported(status);
  }

  private sendQuarantine(table: QuarantineTable): void {
    const view = viewOf(table);
    this.quarantine.follow(view);
    this.subscribers.sendQuarantine(view);
  }

  /**
   * Schedules one update to the newest state, after all log entries that are
   * ready were applied.
   */
  private scheduleStateUpdate(): void {
    if (this.isUpdateScheduled) return;
    this.isUpdateScheduled = true;
    setImmediate(() => {
      this.isUpdateScheduled = false;
      this.applyState();
    });
  }

  private applyState(): void {
    const state = this.group?.state;
    const capacities = state && this.capacities.of(state);
    if (capacities === undefined) return;
    this.reservations.configure(capacities, new Set(state!.zonesOut));
    this.status.sendIfChanged();
  }

  private startTermIfLeader(): void {
    if (!this.isLeader) return;
    const isNew = this.reservations.startTerm(this.group!.term);
    if (!isNew) return;
    this.statements.startTerm();
    this.status.noteLeadership();
  }

  private tick(): void {
    if (this.group === undefined) return;
    this.group.tick();
    if (this.isLeader) this.startTermIfLeader();
    else this.reservations.endTerm();
    this.directory.linkTo(this.group.members);
    this.status.sendIfChanged();
  }

  private sendJoinRequests(): void {
    if (this.group === undefined || this.status.members.length > 0) return;
    const request = this.group.joinRequest;
    for (const peer of this.links.connectedPeers())
      peer.notify('join', request);
  }

  private checkContact(): boolean {
    return this.contact.check(this.status.members);
  }

  private leaderPeer(): Peer | undefined {
    const {leader} = this.status;
    return leader && this.links.peerAt(leader);
  }
}

/**
 * An entry daemon's connection to the control group. It receives the
 * configuration and targets from any control daemon and requests reservations
 * on engines from the leader. Without a leader it grants reservations itself,
 * from its own share of the capacity.
 */
import {randomUUID} from 'node:crypto';
import {
  incarnation as toIncarnation,
  type InstanceId,
  type Logger,
  type RequestId,
  type ServiceId,
  type TargetId,
  type ZoneId,
} from '@samphirefield/core';
import {
  removeExpired,
  mergeAnnouncement,
  type Demand,
  type DispatchResult,
  type ActiveConfig,
  type RelayEndpoint,
  type RelayPeer,
  type ReservationClient,
  type RouteTable,
  type RunOutcome,
  type TargetAnnouncement,
  type TargetRecord,
  type TargetTable,
} from '@samphirefield/gateway';
import {capacitiesOf} from '../capacities.js';
import type {ConfigDecoder} from '../config-decoder.js';
import {
  toFinishMessage,
  type StateUpdate,
  type TargetUpdate,
} from '../control/index.js';
import type {Address, Peer} from '../link/index.js';
import {ControlLinks} from './control-links.js';
import {ConfigFollower} from './config-follower.js';
import {EntryQuarantine} from './entry-quarantine.js';
import {EntryRollouts, type VersionObserver} from './entry-rollouts.js';
import {
  EntryReachability,
  NO_CONNECTIONS,
  type TargetConnectionPool,
} from './entry-reachability.js';
import {EntryRuns, toHeldRun, type EntryRun} from './entry-runs.js';
import {EntryStatements} from './entry-statements.js';
import {EntryTargetLoads} from './entry-target-loads.js';
import {
  afterWait,
  LeaderReservations,
  NEXT_LEADER_WAIT_MS,
} from './leader-reservations.js';
import {LocalReservations} from './local-reservations.js';

const REMOVE_EXPIRED_EVERY_MS = 5_000;
const TARGET_EXPIRY_MS = 600_000;
const MOVE_PERMIT_TIMEOUT_MS = 2_500;

export interface EntryNodeOptions {
  readonly instance: InstanceId;
  readonly zone: ZoneId;
  /** Where this entry accepts relayed requests; default: it accepts none. */
  readonly relay?: RelayEndpoint;
  readonly seeds: readonly Address[];
  readonly decodeConfig: ConfigDecoder;
  readonly logger: Logger;
  readonly nowMs: () => number;
  readonly onRouteTable: (table: RouteTable) => void;
  readonly onTargetChange: (record: TargetRecord) => void;
  /** Whether admission control decides for engines; default: no. */
  readonly usesAdmission?: boolean;
  /** How long a demand that waited at a lost leader waits for the next one. */
  readonly nextLeaderWaitMs?: number;
  readonly observeVersion?: VersionObserver;
  /** The gateway's connections to targets; default: it has none. */
  readonly pool?: TargetConnectionPool;
}

export class EntryNode implements ReservationClient {
  private readonly config: ConfigFollower;
  private readonly table: TargetTable = new Map();
  readonly quarantine: EntryQuarantine;
  readonly statements: EntryStatements;
  readonly targetLoads: EntryTargetLoads;
  readonly rollouts: EntryRollouts;
  readonly reachability: EntryReachability;
  private readonly controls: ControlLinks;
  private readonly local: LocalReservations;
  private readonly atLeader: LeaderReservations;
  private readonly runs = new EntryRuns();
  private readonly drainListeners = new Map<TargetId, Set<() => void>>();
  private readonly timers: NodeJS.Timeout[] = [];

  constructor(private readonly options: EntryNodeOptions) {
    const incarnation = toIncarnation(randomUUID());
    this.statements = new EntryStatements({
      instance: options.instance,
      logger: options.logger,
      nowMs: options.nowMs,
      random: Math.random,
      leader: () => this.controls.leaderPeer,
      entryCount: () => this.entryCount,
      serviceOf: id => this.table.get(id)?.announcement.service,
      onBrittleness: service => this.onBrittleness(service),
      startOf: id => {
        const bornMs = this.table.get(id)?.announcement.bornMs;
        return bornMs === undefined ? undefined : {target: id, bornMs};
      },
      onGrant: () => this.local.dispatchPending(),
      onLeaving: id => this.callDrainListeners(id),
    });
    this.targetLoads = new EntryTargetLoads({
      logger: options.logger,
      nowMs: options.nowMs,
      leader: () => this.controls.leaderPeer,
      hasEngine: service => this.hasEngine(service),
      serviceOf: id => this.table.get(id)?.announcement.service,
      runsOn: id => this.local.dispatcher.runsOn(id),
    });
    this.rollouts = new EntryRollouts({
      instance: options.instance,
      incarnation,
      logger: options.logger,
      nowMs: options.nowMs,
      random: Math.random,
      leader: () => this.controls.leaderPeer,
      announcementOf: id => this.table.get(id)?.announcement,
      onChange: service => this.onVersionsChanged(service),
      observe: options.observeVersion,
    });
    this.reachability = new EntryReachability({
      logger: options.logger,
      nowMs: options.nowMs,
      random: Math.random,
      pool: options.pool ?? NO_CONNECTIONS,
      targets: () => this.table,
      isUsable: record => this.isUsable(record),
      hasCrashed: start => this.quarantine.hasCrashed(start),
    });
    this.local = new LocalReservations({
      limiter: this.statements,
      versions: this.rollouts,
      speeds: this.targetLoads,
      // Reservations on engines are granted here only without a leader, when
      // all entries do so: each uses an equal share.
      share: service => (this.hasEngine(service) ? 1 / this.entryCount : 1),
      nowMs: options.nowMs,
      usesAdmission: options.usesAdmission ?? false,
    });
    this.atLeader = new LeaderReservations({
      leader: () => this.controls.leaderPeer,
      leaderChangeCount: () => this.runs.leaderChangeCount,
      logger: options.logger,
      nowMs: options.nowMs,
      sendsAgain: options.usesAdmission ?? false,
      nextLeaderWaitMs: options.nextLeaderWaitMs ?? NEXT_LEADER_WAIT_MS,
    });
    this.quarantine = new EntryQuarantine({
      leader: () => this.controls.leaderPeer,
      logger: options.logger,
      nowMs: options.nowMs,
    });
    this.controls = new ControlLinks({
      ...options,
      incarnation,
      onTarget: update => this.onTargetUpdate(update),
      onLeader: leader => {
        this.sendHeldRuns(leader);
        this.statements.reportAll(leader);
        this.targetLoads.startReporting();
        this.rollouts.onLeader();
      },
      onStatements: reports => this.statements.learn(reports),
      onStatus: () => this.config.check(),
      onQuarantine: view => this.quarantine.follow(view),
      onInformantsChanged: () => {
        for (const record of this.table.values()) this.updateTarget(record);
      },
    });
    this.config = new ConfigFollower({
      logger: options.logger,
      nowMs: options.nowMs,
      decodeConfig: options.decodeConfig,
      sources: () => this.controls.stateSources(),
      onState: (state, active, hasNewTable) =>
        this.onState(state, active, hasNewTable),
    });
    this.timers.push(
      setInterval(() => this.removeExpiredTargets(), REMOVE_EXPIRED_EVERY_MS),
    );
  }

  start(): void {
    this.controls.add(this.options.seeds);
  }

  activeConfig(): ActiveConfig | undefined {
    return this.config.active;
  }

  /** Number of entries among which shared limits are divided. */
  get entryCount(): number {
    return this.controls.entryCount;
  }

  /** The entries through which this one can relay requests. */
  get relayPeers(): readonly RelayPeer[] {
    return this.controls.relayPeers.list;
  }

  /** Adds the seeds of reloaded settings. */
  addSeeds(seeds: readonly Address[]): void {
    this.controls.add(seeds);
  }

  findTarget(id: TargetId): TargetRecord | undefined {
    return this.table.get(id);
  }

  onDraining(id: TargetId, listener: () => void): () => void {
    const target = this.table.get(id)?.announcement;
    const isLeaving = target !== undefined && this.isLeaving(target);
    if (isLeaving || this.statements.isLeaving(id)) {
      listener();
      return () => undefined;
    }
    const listeners = this.drainListeners.get(id) ?? new Set();
    this.drainListeners.set(id, listeners);
    listeners.add(listener);
    return () => {
      listeners.delete(listener);
      if (listeners.size === 0) this.drainListeners.delete(id);
    };
  }

  private isLeaving(target: TargetAnnouncement): boolean {
    return target.state !== 'ready' || this.rollouts.isLeaving(target);
  }

  /** Whether the target may get new requests, as far as others know. */
  private isUsable({announcement}: TargetRecord): boolean {
    const {id, state, zone} = announcement;
    const isOut = this.config.active?.view.zonesOut.has(zone) ?? false;
    const isLeaving = this.statements.isLeaving(id);
    const isSilent = this.controls.isSilent(id);
    return state === 'ready' && !isOut && !isLeaving && !isSilent;
  }

  /** Moves runs off targets that a rollout stops, and uses those that it allows. */
  private onVersionsChanged(service: ServiceId): void {
    for (const {announcement} of this.table.values()) {
      const isOfService = announcement.service === service;
      if (isOfService && this.rollouts.isLeaving(announcement))
        this.callDrainListeners(announcement.id);
    }
    this.local.dispatchPending();
  }

  async acquireMovePermit(source: TargetId, holder: RequestId): Promise<void> {
    const peer = this.controls.leaderPeer;
    if (peer === undefined) return;
    try {
      await peer.request('take_turn', {source, holder}, MOVE_PERMIT_TIMEOUT_MS);
    } catch (error) {
      this.options.logger.warn('no_move_turn', {reason: String(error)});
    }
  }

  releaseMovePermit(source: TargetId, holder: RequestId): void {
    this.controls.leaderPeer?.notify('end_turn', {source, holder});
  }

  async reserve(wanted: Demand): Promise<DispatchResult> {
    const demand = this.rollouts.assign(wanted);
    const result = await this.place(demand);
    this.rollouts.settle(demand, result);
    return result;
  }

  private async place(demand: Demand): Promise<DispatchResult> {
    const {service} = demand;
    const sinceMs = this.options.nowMs();
    if (this.isPlacedByLeader(service)) {
      const granted = await this.atLeader.reserve(demand);
      if (granted) {
        const {result, askedAtChange} = granted;
        const isAtLeader = askedAtChange === this.runs.leaderChangeCount;
        return this.recordPlaced(demand, result, isAtLeader);
      }
    }
    const result = await this.local.reserve(demand);
    if (result) return this.recordPlaced(demand, result, false);
    return this.place(afterWait(demand, this.options.nowMs() - sinceMs));
  }

  /** Records the run if the demand was granted. */
  private recordPlaced(
    {request, service, kvTokens}: Demand,
    result: DispatchResult,
    isAtLeader: boolean,
  ): DispatchResult {
    if (result.kind !== 'granted') return result;
    const {target} = result;
    const run = {request, service, target, kvTokens, isAtLeader};
    this.runs.add(run);
    if (this.statements.isBrittle(service)) this.shareRuns([run]);
    return result;
  }

  /** Whether the leader has to know of all runs on the service. */
  private isPlacedByLeader(service: ServiceId): boolean {
    return this.hasEngine(service) || this.statements.isBrittle(service);
  }

  /** The leader grants what runs on brittle targets, and needs to know of all. */
  private onBrittleness(service: ServiceId): void {
    if (!this.statements.isBrittle(service)) return;
    this.shareRuns(this.runs.ofServices(other => other === service));
    this.local.withdraw(service);
  }

  /**
   * Lets the leader and this entry count the same runs on brittle targets: either
   * may have granted them, and either may have to grant the next.
   */
  private shareRuns(runs: readonly EntryRun[]): void {
    const {instance: entry} = this.options;
    for (const run of runs)
      this.local.dispatcher.recordRun({...toHeldRun(run), entry});
    const leader = this.controls.leaderPeer;
    const unknown = runs.filter(({isAtLeader}) => !isAtLeader);
    if (leader === undefined || unknown.length === 0) return;
    for (const run of unknown) run.isAtLeader = true;
    leader.notify('more_runs', {entry, runs: unknown.map(toHeldRun)});
  }

  release(request: RequestId, service: ServiceId, outcome: RunOutcome): void {
    this.local.release(request, outcome);
    const run = this.runs.remove(request);
    if (run && outcome === 'rejected') this.logRejection(run);
    this.rollouts.withdraw(request, service);
    if (!run?.isAtLeader && !this.isPlacedByLeader(service)) return;
    this.controls.leaderPeer?.notify(
      'finish',
      toFinishMessage(request, outcome),
    );
  }

  private logRejection({request, target}: EntryRun): void {
    this.options.logger.info('target_rejected', {
      run: request,
      target,
      runs_left_here: this.runs.ofTarget(target).length,
      slots: this.table.get(target)?.announcement.slots,
    });
  }

  metrics(): Record<string, number> {
    return {
      has_leader: this.controls.leaderPeer === undefined ? 0 : 1,
      controls_up: this.controls.connectedCount,
      state_index: this.config.index,
      relay_peers: this.relayPeers.length,
      targets: this.table.size,
      places_held_locally: this.local.dispatcher.runCount,
      places_waiting_locally: this.local.dispatcher.pendingCount,
      places_on_engines: this.engineRuns.length,
      quarantined: this.quarantine.quarantinedCount,
      ...this.targetLoads.metrics(),
      ...this.reachability.metrics(),
      choices_by_speed: this.local.dispatcher.choicesBySpeed,
    };
  }

  stop(): void {
    for (const timer of this.timers) clearInterval(timer);
    this.local.stop();
    this.quarantine.stop();
    this.targetLoads.stop();
    this.rollouts.stop();
    this.reachability.stop();
    this.config.stop();
    this.controls.close();
  }

  /**
   * Removes only gone and silent targets: entries receive changes only, so a
   * live target may have been last seen long ago.
   */
  private removeExpiredTargets(): void {
    const canExpire = ({announcement: {id, state}}: TargetRecord) =>
      state === 'gone' || this.controls.isSilent(id);
    const nowMs = this.options.nowMs();
    const expired = removeExpired(
      this.table,
      nowMs,
      TARGET_EXPIRY_MS,
      canExpire,
    );
    for (const id of expired) {
      this.local.dispatcher.removeTarget(id);
      this.statements.forget(id);
      this.targetLoads.forget(id);
      this.reachability.forget(id);
      this.controls.forgetTarget(id);
    }
  }

  private get engineRuns(): EntryRun[] {
    return this.runs.ofServices(service => this.hasEngine(service));
  }

  private hasEngine(service: ServiceId): boolean {
    return (
      this.config.active?.routeIndex.findService(service)?.engine !== undefined
    );
  }

  /** Reports all runs to a leader whose record of them may be wrong. */
  private sendHeldRuns(leader: Peer | undefined): void {
    const held = this.runs.ofServices(service =>
      this.isPlacedByLeader(service),
    );
    this.runs.forgetLeader();
    if (leader) for (const run of held) run.isAtLeader = true;
    const runs = held.map(toHeldRun);
    leader?.notify('held_runs', {entry: this.options.instance, runs});
  }

  private onState(
    {rollouts}: StateUpdate,
    {view}: ActiveConfig,
    hasNewTable: boolean,
  ): void {
    const {table, zonesOut} = view;
    this.local.dispatcher.configure(capacitiesOf(table), zonesOut);
    this.local.dispatchPending();
    if (hasNewTable) this.options.onRouteTable(table);
    // Daemons of earlier builds send no rollouts.
    this.rollouts.follow(rollouts ?? []);
  }

  private onTargetUpdate(update: TargetUpdate): void {
    const {announcement, ageMs} = update;
    const nowMs = this.options.nowMs();
    const before = this.table.get(announcement.id)?.announcement;
    const onReplaced = (replaced: TargetRecord) => {
      this.onTargetChanged(replaced);
      this.updateTarget(replaced);
    };
    const outcome = mergeAnnouncement(
      this.table,
      announcement,
      nowMs,
      ageMs,
      onReplaced,
    );
    const record = this.table.get(announcement.id);
    if (record === undefined) return;
    if (outcome === 'changed') this.onTargetChanged(record);
    this.updateTarget(record);
    const hasRestarted =
      before?.state === 'ready' && before.bornMs !== record.announcement.bornMs;
    if (hasRestarted)
      this.quarantine.recordCrash(
        {target: before.id, bornMs: before.bornMs},
        true,
      );
  }

  private onTargetChanged(record: TargetRecord): void {
    this.options.onTargetChange(record);
    const {id, state} = record.announcement;
    if (state !== 'ready') this.callDrainListeners(id);
  }

  private callDrainListeners(id: TargetId): void {
    const listeners = this.drainListeners.get(id);
    this.drainListeners.delete(id);
    for (const listener of listeners ?? []) listener();
  }

  private updateTarget(record: TargetRecord): void {
    const isSilent = this.controls.isSilent(record.announcement.id);
    this.local.dispatcher.setTarget(record, isSilent, this.options.nowMs());
    const {id, bornMs, state, hasCrashed} = record.announcement;
    const start = {target: id, bornMs};
    this.reachability.onTarget(record);
    if (hasCrashed) this.quarantine.recordCrash(start, true);
    else if (isSilent && state === 'ready')
      this.quarantine.recordCrash(start, false);
    else this.quarantine.retractCrash(start);
  }
}

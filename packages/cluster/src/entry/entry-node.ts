/**
 * An entry daemon's connection to the control group. It receives the
 * configuration and targets from any control daemon and requests reservations
 * on engines from the leader. Without a leader it grants reservations itself,
 * from its own share of the capacity.
 */
import {randomUUID} from 'node:crypto';
import type {Result} from 'neverthrow';
import {
  zoneId,
  type InstanceId,
  type Logger,
  type RequestId,
  type ServiceId,
  type TargetId,
  type ZoneId,
} from '@samphirefield/core';
import {
  buildRouteIndex,
  Dispatcher,
  removeExpired,
  mergeAnnouncement,
  type Demand,
  type DispatchResult,
  type ActiveConfig,
  type ReservationClient,
  type RouteTable,
  type RunOutcome,
  type TargetRecord,
  type TargetTable,
} from '@samphirefield/gateway';
import {capacitiesOf} from '../capacities.js';
import type {
  ClusterState,
  GroupStatus,
  HeldRun,
  Hello,
  TargetUpdate,
  TargetsMessage,
} from '../control/index.js';
import {
  formatAddress,
  LinkSet,
  type Address,
  type Peer,
} from '../link/index.js';

const PULL_TIMEOUT_MS = 2_000;
const DISPATCH_EVERY_MS = 100;
const REMOVE_EXPIRED_EVERY_MS = 5_000;
const TARGET_EXPIRY_MS = 600_000;
/** Number of entries assumed until a control daemon has reported it. */
const INITIAL_ENTRY_COUNT = 16;
const MOVE_PERMIT_TIMEOUT_MS = 2_500;
/** Added to a request's maximum wait, for the round trip to the leader. */
const RESERVATION_MARGIN_MS = 1_000;

export interface EntryNodeOptions {
  readonly instance: InstanceId;
  readonly zone: ZoneId;
  readonly seeds: readonly Address[];
  readonly decodeConfig: (document: string) => Result<RouteTable, unknown>;
  readonly logger: Logger;
  readonly nowMs: () => number;
  readonly onRouteTable: (table: RouteTable) => void;
  readonly onTargetChange: (record: TargetRecord) => void;
}

interface ControlView {
  status: GroupStatus | undefined;
  readonly silentTargets: Set<TargetId>;
}

interface LeaderGrant extends HeldRun {
  readonly service: ServiceId;
}

export class EntryNode implements ReservationClient {
  private readonly incarnation = randomUUID();
  private current: ActiveConfig | undefined;
  private readonly table: TargetTable = new Map();
  private readonly controls = new Map<string, ControlView>();
  private readonly links: LinkSet;
  private readonly localDispatcher: Dispatcher;
  private readonly localResolvers = new Map<
    RequestId,
    (result: DispatchResult) => void
  >();
  private readonly leaderGrants = new Map<RequestId, LeaderGrant>();
  private readonly drainListeners = new Map<TargetId, Set<() => void>>();
  private readonly timers: NodeJS.Timeout[] = [];
  private lastEntryCount = INITIAL_ENTRY_COUNT;
  private isPulling = false;
  private leader: Address | undefined;
  private leaderTerm = 0;

  constructor(private readonly options: EntryNodeOptions) {
    const {nowMs} = options;
    this.localDispatcher = new Dispatcher({
      onResult: (demand, result) => this.resolveLocally(demand, result),
      // Reservations on engines are granted here only without a leader, when
      // all entries do so: each uses an equal share.
      share: service => (this.hasEngine(service) ? 1 / this.entryCount : 1),
      random: Math.random,
    });
    this.links = new LinkSet(
      {
        status: (status: GroupStatus, peer: Peer) =>
          this.onStatus(status, peer),
        targets: (message: TargetsMessage, peer: Peer) => {
          for (const item of message.items) this.onTargetUpdate(item, peer);
        },
      },
      {
        onUp: (address, peer) => this.onUp(address, peer),
        onDown: address => this.onDown(address),
      },
    );
    this.timers.push(
      setInterval(
        () => this.localDispatcher.dispatchPending(nowMs()),
        DISPATCH_EVERY_MS,
      ),
      setInterval(() => this.removeExpiredTargets(), REMOVE_EXPIRED_EVERY_MS),
    );
  }

  start(): void {
    this.links.setAddresses(this.options.seeds);
  }

  activeConfig(): ActiveConfig | undefined {
    return this.current;
  }

  /** Number of entries among which shared limits are divided. */
  get entryCount(): number {
    const counts = [...this.controls.values()].map(
      view => view.status?.entryCount ?? 0,
    );
    this.lastEntryCount = Math.max(...counts, 0) || this.lastEntryCount;
    return this.lastEntryCount;
  }

  /** Opens links to the seeds of reloaded settings. */
  addSeeds(seeds: readonly Address[]): void {
    for (const seed of seeds) this.links.add(seed);
  }

  findTarget(id: TargetId): TargetRecord | undefined {
    return this.table.get(id);
  }

  onDraining(id: TargetId, listener: () => void): () => void {
    const state = this.table.get(id)?.announcement.state;
    if (state !== undefined && state !== 'ready') {
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

  async acquireMovePermit(source: TargetId, holder: RequestId): Promise<void> {
    const peer = this.leader && this.links.peerAt(this.leader);
    if (!peer) return;
    try {
      await peer.request('take_turn', {source, holder}, MOVE_PERMIT_TIMEOUT_MS);
    } catch (error) {
      this.options.logger.warn('no_move_turn', {reason: String(error)});
    }
  }

  releaseMovePermit(source: TargetId, holder: RequestId): void {
    const peer = this.leader && this.links.peerAt(this.leader);
    peer?.notify('end_turn', {source, holder});
  }

  async reserve(demand: Demand): Promise<DispatchResult> {
    const isEngine = this.hasEngine(demand.service);
    const peer = isEngine && this.leader && this.links.peerAt(this.leader);
    if (!peer) return this.reserveLocally(demand);
    try {
      const result = await peer.request<DispatchResult>(
        'place',
        demand,
        demand.maxWaitMs + RESERVATION_MARGIN_MS,
      );
      if (result.kind === 'granted') {
        this.leaderGrants.set(demand.request, {
          request: demand.request,
          service: demand.service,
          target: result.target,
          kvTokens: demand.kvTokens,
        });
      }
      return result;
    } catch (error) {
      this.options.logger.warn('leader_gave_no_place', {
        run: demand.request,
        reason: String(error),
      });
      return this.reserveLocally(demand);
    }
  }

  release(request: RequestId, service: ServiceId, outcome: RunOutcome): void {
    this.localDispatcher.release(request, outcome, this.options.nowMs());
    this.localResolvers.delete(request);
    this.leaderGrants.delete(request);
    if (!this.hasEngine(service) || !this.leader) return;
    this.links.peerAt(this.leader)?.notify('finish', {request, outcome});
  }

  metrics(): Record<string, number> {
    return {
      has_leader: this.leader === undefined ? 0 : 1,
      controls_up: this.links.connectedPeers().length,
      state_index: this.current?.view.index ?? 0,
      targets: this.table.size,
      places_held_locally: this.localDispatcher.runCount,
      places_waiting_locally: this.localDispatcher.pendingCount,
      places_from_leader: this.leaderGrants.size,
    };
  }

  stop(): void {
    for (const timer of this.timers) clearInterval(timer);
    this.links.close();
  }

  /**
   * Removes only gone and silent targets: entries receive changes only, so a
   * live target may have been last seen long ago.
   */
  private removeExpiredTargets(): void {
    const canExpire = ({announcement: {id, state}}: TargetRecord) =>
      state === 'gone' || this.isSilent(id);
    const nowMs = this.options.nowMs();
    const expired = removeExpired(
      this.table,
      nowMs,
      TARGET_EXPIRY_MS,
      canExpire,
    );
    for (const id of expired) {
      this.localDispatcher.removeTarget(id);
      for (const view of this.controls.values()) view.silentTargets.delete(id);
    }
  }

  private hasEngine(service: ServiceId): boolean {
    return this.current?.routeIndex.findService(service)?.engine !== undefined;
  }

  private reserveLocally(demand: Demand): Promise<DispatchResult> {
    return new Promise(resolve => {
      this.localResolvers.set(demand.request, resolve);
      this.localDispatcher.acquire(demand, this.options.nowMs());
    });
  }

  private resolveLocally(demand: Demand, result: DispatchResult): void {
    const resolve = this.localResolvers.get(demand.request);
    this.localResolvers.delete(demand.request);
    resolve?.(result);
  }

  private onUp(address: Address, peer: Peer): void {
    const key = formatAddress(address);
    peer.tag = key;
    this.controls.set(key, {status: undefined, silentTargets: new Set()});
    const {instance, zone} = this.options;
    const {incarnation} = this;
    const hello: Hello = {instance, incarnation, role: 'entry', zone};
    peer.notify('hello', hello);
    this.options.logger.info('control_link_up', {control: key});
  }

  private onDown(address: Address): void {
    const key = formatAddress(address);
    this.controls.delete(key);
    this.options.logger.warn('control_link_down', {control: key});
    this.chooseLeader();
    for (const record of this.table.values()) this.updateTarget(record);
  }

  private onStatus(status: GroupStatus, peer: Peer): void {
    const view = this.controls.get(peer.tag ?? '');
    if (view === undefined) return;
    view.status = status;
    for (const member of status.members) this.links.add(member);
    this.chooseLeader();
    if (status.index > (this.current?.view.index ?? 0))
      void this.pullState(peer);
  }

  private chooseLeader(): void {
    let best: GroupStatus | undefined;
    for (const {status} of this.controls.values()) {
      if (status?.leader && status.term >= (best?.term ?? 0)) best = status;
    }
    const previous = this.leader && formatAddress(this.leader);
    const next = best?.leader && formatAddress(best.leader);
    this.leader = best?.leader;
    const term = best?.term ?? 0;
    if (previous === next && term === this.leaderTerm) return;
    this.leaderTerm = term;
    const event = next === undefined ? 'leader_lost' : 'leader_known';
    this.options.logger.info(event, {leader: next, term});
    if (this.leader) this.sendHeldRuns(this.leader);
  }

  private sendHeldRuns(leader: Address): void {
    const runs = [...this.leaderGrants.values()];
    if (runs.length === 0) return;
    const {instance} = this.options;
    this.links.peerAt(leader)?.notify('held_runs', {entry: instance, runs});
  }

  private async pullState(peer: Peer): Promise<void> {
    if (this.isPulling) return;
    this.isPulling = true;
    try {
      const state = await peer.request<ClusterState>(
        'pull_state',
        {},
        PULL_TIMEOUT_MS,
      );
      this.applyState(state);
    } catch (error) {
      this.options.logger.warn('pull_failed', {reason: String(error)});
    } finally {
      this.isPulling = false;
    }
    this.pullIfBehind();
  }

  /** Pulls again if another change was reported meanwhile. */
  private pullIfBehind(): void {
    const index = this.current?.view.index ?? 0;
    for (const [key, {status}] of this.controls) {
      if (!status || status.index <= index) continue;
      const peer = this.links.connectedPeers().find(item => item.tag === key);
      if (peer) void this.pullState(peer);
      return;
    }
  }

  private applyState(state: ClusterState): void {
    if (state.index <= (this.current?.view.index ?? 0)) return;
    const {logger, nowMs} = this.options;
    const currentView = this.current?.view;
    const isSameTable =
      currentView && currentView.table.version === state.version;
    const zonesOut = new Set(state.zonesOut.map(zone => zoneId(zone)));
    let table: RouteTable;
    if (isSameTable) ({table} = currentView);
    else {
      if (state.version === 0) return;
      const decoded = this.options.decodeConfig(state.document);
      if (decoded.isErr()) {
        logger.error('config_unreadable', {version: state.version});
        return;
      }
      table = decoded.value;
    }
    const routeIndex = isSameTable
      ? this.current!.routeIndex
      : buildRouteIndex(table);
    this.current = {
      view: {index: state.index, table, zonesOut},
      routeIndex,
    };
    this.localDispatcher.configure(capacitiesOf(table), zonesOut);
    this.localDispatcher.dispatchPending(nowMs());
    if (!isSameTable) this.options.onRouteTable(table);
    logger.info('config_in_force', {
      index: state.index,
      version: table.version,
      routes: table.routes.length,
      zones_out: [...zonesOut].join(','),
    });
  }

  private onTargetUpdate(update: TargetUpdate, peer: Peer): void {
    const {id} = update.announcement;
    const view = this.controls.get(peer.tag ?? '');
    const nowMs = this.options.nowMs();
    const outcome = mergeAnnouncement(
      this.table,
      update.announcement,
      nowMs,
      update.ageMs,
    );
    if (update.isSilent) view?.silentTargets.add(id);
    else view?.silentTargets.delete(id);
    const record = this.table.get(id);
    if (record === undefined) return;
    if (outcome === 'changed') this.onTargetChanged(record);
    this.updateTarget(record);
  }

  private onTargetChanged(record: TargetRecord): void {
    this.options.onTargetChange(record);
    const {id, state} = record.announcement;
    if (state === 'ready') return;
    const listeners = this.drainListeners.get(id);
    this.drainListeners.delete(id);
    for (const listener of listeners ?? []) listener();
  }

  private updateTarget(record: TargetRecord): void {
    const isSilent = this.isSilent(record.announcement.id);
    this.localDispatcher.setTarget(record, isSilent, this.options.nowMs());
  }

  /**
   * A target is silent only if every connected control daemon reports it so.
   */
  private isSilent(id: TargetId): boolean {
    const views = [...this.controls.values()];
    return views.length > 0 && views.every(view => view.silentTargets.has(id));
  }
}

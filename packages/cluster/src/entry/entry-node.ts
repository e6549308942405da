/**
 * An entry daemon's side of the group: it learns configuration and targets
 * from any control daemon, and asks the leader for places on engines. Without
 * a leader it gives out places itself, from its own part of the capacity.
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
const PUMP_EVERY_MS = 100;
const FORGET_EVERY_MS = 5_000;
const FORGET_TARGET_MS = 600_000;
/** Assumed until a control daemon has told how many there are. */
const FIRST_ENTRY_COUNT = 16;
const TURN_TIMEOUT_MS = 2_500;
/** Beyond a request's own waiting time, for the way to the leader and back. */
const PLACE_MARGIN_MS = 1_000;

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
  readonly silent: Set<TargetId>;
}

interface GrantedByLeader extends HeldRun {
  readonly service: ServiceId;
}

export class EntryNode implements ReservationClient {
  private readonly incarnation = randomUUID();
  private current: ActiveConfig | undefined;
  private readonly table: TargetTable = new Map();
  private readonly controls = new Map<string, ControlView>();
  private readonly links: LinkSet;
  private readonly local: Dispatcher;
  private readonly waitingLocally = new Map<
    RequestId,
    (answer: DispatchResult) => void
  >();
  private readonly granted = new Map<RequestId, GrantedByLeader>();
  private readonly leaving = new Map<TargetId, Set<() => void>>();
  private readonly timers: NodeJS.Timeout[] = [];
  private knownEntryCount = FIRST_ENTRY_COUNT;
  private isPulling = false;
  private leader: Address | undefined;
  private leaderTerm = 0;

  constructor(private readonly options: EntryNodeOptions) {
    const {nowMs} = options;
    this.local = new Dispatcher({
      onResult: (demand, answer) => this.answerLocally(demand, answer),
      // Engines are given out here only without a leader: by all entries.
      share: service => (this.hasEngine(service) ? 1 / this.entryCount : 1),
      random: Math.random,
    });
    this.links = new LinkSet(
      {
        status: (status: GroupStatus, peer: Peer) =>
          this.onStatus(status, peer),
        targets: (message: TargetsMessage, peer: Peer) => {
          for (const item of message.items) this.onTarget(item, peer);
        },
      },
      {
        onUp: (address, peer) => this.onUp(address, peer),
        onDown: address => this.onDown(address),
      },
    );
    this.timers.push(
      setInterval(() => this.local.dispatchPending(nowMs()), PUMP_EVERY_MS),
      setInterval(() => this.forgetTargets(), FORGET_EVERY_MS),
    );
  }

  start(): void {
    this.links.setAddresses(this.options.seeds);
  }

  activeConfig(): ActiveConfig | undefined {
    return this.current;
  }

  /** Entries that share what is counted over all of them. */
  get entryCount(): number {
    const counts = [...this.controls.values()].map(
      view => view.status?.entryCount ?? 0,
    );
    this.knownEntryCount = Math.max(...counts, 0) || this.knownEntryCount;
    return this.knownEntryCount;
  }

  /** The seeds of the settings have changed. */
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
    const listeners = this.leaving.get(id) ?? new Set();
    this.leaving.set(id, listeners);
    listeners.add(listener);
    return () => {
      listeners.delete(listener);
      if (listeners.size === 0) this.leaving.delete(id);
    };
  }

  async acquireMovePermit(source: TargetId, holder: RequestId): Promise<void> {
    const peer = this.leader && this.links.peerAt(this.leader);
    if (!peer) return;
    try {
      await peer.request('take_turn', {source, holder}, TURN_TIMEOUT_MS);
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
    if (!peer) return this.placeLocally(demand);
    try {
      const answer = await peer.request<DispatchResult>(
        'place',
        demand,
        demand.maxWaitMs + PLACE_MARGIN_MS,
      );
      if (answer.kind === 'granted') {
        this.granted.set(demand.request, {
          request: demand.request,
          service: demand.service,
          target: answer.target,
          kvTokens: demand.kvTokens,
        });
      }
      return answer;
    } catch (error) {
      this.options.logger.warn('leader_gave_no_place', {
        run: demand.request,
        reason: String(error),
      });
      return this.placeLocally(demand);
    }
  }

  release(request: RequestId, service: ServiceId, outcome: RunOutcome): void {
    this.local.release(request, outcome, this.options.nowMs());
    this.waitingLocally.delete(request);
    this.granted.delete(request);
    if (!this.hasEngine(service) || !this.leader) return;
    this.links.peerAt(this.leader)?.notify('finish', {request, outcome});
  }

  metrics(): Record<string, number> {
    return {
      has_leader: this.leader === undefined ? 0 : 1,
      controls_up: this.links.connectedPeers().length,
      state_index: this.current?.view.index ?? 0,
      targets: this.table.size,
      places_held_locally: this.local.runCount,
      places_waiting_locally: this.local.pendingCount,
      places_from_leader: this.granted.size,
    };
  }

  stop(): void {
    for (const timer of this.timers) clearInterval(timer);
    this.links.close();
  }

  /** Entries hear of changes only, so a target that lives may be long unheard. */
  private forgetTargets(): void {
    const mayForget = ({announcement: {id, state}}: TargetRecord) =>
      state === 'gone' || this.isSilent(id);
    const nowMs = this.options.nowMs();
    const old = removeExpired(this.table, nowMs, FORGET_TARGET_MS, mayForget);
    for (const id of old) {
      this.local.removeTarget(id);
      for (const view of this.controls.values()) view.silent.delete(id);
    }
  }

  private hasEngine(service: ServiceId): boolean {
    return this.current?.routeIndex.findService(service)?.engine !== undefined;
  }

  private placeLocally(demand: Demand): Promise<DispatchResult> {
    return new Promise(resolve => {
      this.waitingLocally.set(demand.request, resolve);
      this.local.acquire(demand, this.options.nowMs());
    });
  }

  private answerLocally(demand: Demand, answer: DispatchResult): void {
    const resolve = this.waitingLocally.get(demand.request);
    this.waitingLocally.delete(demand.request);
    resolve?.(answer);
  }

  private onUp(address: Address, peer: Peer): void {
    const key = formatAddress(address);
    peer.tag = key;
    this.controls.set(key, {status: undefined, silent: new Set()});
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
    if (status.index > (this.current?.view.index ?? 0)) void this.pull(peer);
  }

  private chooseLeader(): void {
    let best: GroupStatus | undefined;
    for (const {status} of this.controls.values()) {
      if (status?.leader && status.term >= (best?.term ?? 0)) best = status;
    }
    const known = this.leader && formatAddress(this.leader);
    const next = best?.leader && formatAddress(best.leader);
    this.leader = best?.leader;
    const term = best?.term ?? 0;
    if (known === next && term === this.leaderTerm) return;
    this.leaderTerm = term;
    const event = next === undefined ? 'leader_lost' : 'leader_known';
    this.options.logger.info(event, {leader: next, term});
    if (this.leader) this.reportRuns(this.leader);
  }

  private reportRuns(leader: Address): void {
    const runs = [...this.granted.values()];
    if (runs.length === 0) return;
    const {instance} = this.options;
    this.links.peerAt(leader)?.notify('held_runs', {entry: instance, runs});
  }

  private async pull(peer: Peer): Promise<void> {
    if (this.isPulling) return;
    this.isPulling = true;
    try {
      const state = await peer.request<ClusterState>(
        'pull_state',
        {},
        PULL_TIMEOUT_MS,
      );
      this.take(state);
    } catch (error) {
      this.options.logger.warn('pull_failed', {reason: String(error)});
    } finally {
      this.isPulling = false;
    }
    this.pullNewest();
  }

  /** Pulls again if another change came meanwhile. */
  private pullNewest(): void {
    const index = this.current?.view.index ?? 0;
    for (const [key, {status}] of this.controls) {
      if (!status || status.index <= index) continue;
      const peer = this.links.connectedPeers().find(item => item.tag === key);
      if (peer) void this.pull(peer);
      return;
    }
  }

  private take(state: ClusterState): void {
    if (state.index <= (this.current?.view.index ?? 0)) return;
    const {logger, nowMs} = this.options;
    const known = this.current?.view;
    const isSameTable = known && known.table.version === state.version;
    const zonesOut = new Set(state.zonesOut.map(zone => zoneId(zone)));
    let table: RouteTable;
    if (isSameTable) ({table} = known);
    else {
      if (state.version === 0) return;
      const decoded = this.options.decodeConfig(state.document);
      if (decoded.isErr()) {
        logger.error('config_unreadable', {version: state.version});
        return;
      }
      table = decoded.value;
    }
    const index = isSameTable
      ? this.current!.routeIndex
      : buildRouteIndex(table);
    this.current = {
      view: {index: state.index, table, zonesOut},
      routeIndex: index,
    };
    this.local.configure(capacitiesOf(table), zonesOut);
    this.local.dispatchPending(nowMs());
    if (!isSameTable) this.options.onRouteTable(table);
    logger.info('config_in_force', {
      index: state.index,
      version: table.version,
      routes: table.routes.length,
      zones_out: [...zonesOut].join(','),
    });
  }

  private onTarget(news: TargetUpdate, peer: Peer): void {
    const {id} = news.announcement;
    const view = this.controls.get(peer.tag ?? '');
    const nowMs = this.options.nowMs();
    const outcome = mergeAnnouncement(
      this.table,
      news.announcement,
      nowMs,
      news.ageMs,
    );
    if (news.isSilent) view?.silent.add(id);
    else view?.silent.delete(id);
    const record = this.table.get(id);
    if (record === undefined) return;
    if (outcome === 'changed') this.onTargetChanged(record);
    this.updateTarget(record);
  }

  private onTargetChanged(record: TargetRecord): void {
    this.options.onTargetChange(record);
    const {id, state} = record.announcement;
    if (state === 'ready') return;
    const listeners = this.leaving.get(id);
    this.leaving.delete(id);
    for (const listener of listeners ?? []) listener();
  }

  private updateTarget(record: TargetRecord): void {
    const isSilent = this.isSilent(record.announcement.id);
    this.local.setTarget(record, isSilent, this.options.nowMs());
  }

  /** One control daemon that hears a target outweighs those that do not. */
  private isSilent(id: TargetId): boolean {
    const views = [...this.controls.values()];
    return views.length > 0 && views.every(view => view.silent.has(id));
  }
}

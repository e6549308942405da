/**
 * An entry's links to control daemons: keeps those that `selectControls`
 * chooses, and combines what the daemons report about the leader and about
 * silent targets.
 */
import {createHash} from 'node:crypto';
import type {InstanceId, Logger, TargetId, ZoneId} from '@samphirefield/core';
import type {RelayEndpoint} from '@samphirefield/gateway';
import type {QuarantineView} from '@samphirefield/policy/quarantine';
import type {StatementReport} from '@samphirefield/policy/statements';
import type {
  GroupStatus,
  Hello,
  RelayPeersMessage,
  StatementsMessage,
  TargetUpdate,
  TargetsMessage,
} from '../control/index.js';
import {
  formatAddress,
  LinkSet,
  PROMPT_KEEPALIVE,
  RELAXED_KEEPALIVE,
  type Address,
  type CloseReason,
  type Peer,
} from '../link/index.js';
import {EntryRelayPeers} from './entry-relay-peers.js';
import type {StateSource} from './state-puller.js';
import {
  REPLACE_UNINFORMED_AFTER_MS,
  selectControls,
  type ControlCandidate,
} from './control-selection.js';

/**
 * Number of entries assumed until a control daemon has reported it: the largest
 * that the system is designed for, so that no shared limit is exceeded.
 */
const INITIAL_ENTRY_COUNT = 550;

export interface ControlLinksOptions {
  readonly instance: InstanceId;
  /** Differs with each start of the process. */
  readonly incarnation: string;
  readonly zone: ZoneId;
  /** Where this entry accepts relayed requests. */
  readonly relay?: RelayEndpoint | undefined;
  readonly logger: Logger;
  readonly nowMs: () => number;
  readonly onTarget: (update: TargetUpdate) => void;
  /** Called when the leader or its term changed, or its link is connected. */
  readonly onLeader: (leader: Peer | undefined) => void;
  readonly onStatus: () => void;
  readonly onQuarantine: (view: QuarantineView) => void;
  readonly onStatements: (reports: readonly StatementReport[]) => void;
  /** Called when other daemons than before decide which targets are silent. */
  readonly onInformantsChanged: () => void;
}

interface Control {
  readonly address: Address;
  /** Order of preference of this entry. */
  readonly rank: number;
  uninformedSinceMs: number | undefined;
  status: GroupStatus | undefined;
  /** Whether the daemon was asked to send targets on the present connection. */
  isInformant: boolean;
  readonly silentTargets: Set<TargetId>;
}

const RANK_BYTES = 6;

function rankOf(instance: InstanceId, key: string): number {
  const digest = createHash('sha1').update(`${instance} ${key}`).digest();
  return digest.readUIntBE(0, RANK_BYTES);
}

export class ControlLinks {
  private readonly controls = new Map<string, Control>();
  private readonly links: LinkSet;
  readonly relayPeers = new EntryRelayPeers();
  private lastEntryCount = INITIAL_ENTRY_COUNT;
  private leader: Address | undefined;
  private leaderTerm = 0;
  private timer: NodeJS.Timeout | undefined;
  private isClosed = false;

  constructor(private readonly options: ControlLinksOptions) {
    this.links = new LinkSet(
      {
        status: (status: GroupStatus, peer: Peer) =>
          this.onStatus(status, peer),
        targets: (message: TargetsMessage, peer: Peer) =>
          this.onTargets(message, peer),
        relay_peers: ({peers}: RelayPeersMessage, peer: Peer) =>
          this.relayPeers.learn(peer.tag ?? '', peers),
        quarantine: (view: QuarantineView) => options.onQuarantine(view),
        statements: ({reports}: StatementsMessage) =>
          options.onStatements(reports),
      },
      {
        onUp: (address, peer) => this.onUp(address, peer),
        onDown: (address, reason) => this.onDown(address, reason),
      },
    );
  }

  /** Adds control daemons to those that the entry may link to. */
  add(addresses: readonly Address[]): void {
    for (const address of addresses) this.addControl(address);
    this.select();
  }

  /** The connection to the leader; undefined while there is none. */
  get leaderPeer(): Peer | undefined {
    return this.leader && this.links.peerAt(this.leader);
  }

  get connectedCount(): number {
    return this.links.connectedPeers().length;
  }

  /** Number of entries among which shared limits are divided. */
  get entryCount(): number {
    this.recordEntryCount();
    return this.lastEntryCount;
  }

  private recordEntryCount(): void {
    const counts = this.connectedControls().map(({status}) =>
      status?.leader ? status.entryCount : 0,
    );
    this.lastEntryCount = Math.max(...counts, 0) || this.lastEntryCount;
  }

  /**
   * Whether most of the informants report the target as silent. Informants
   * without a leader may be cut off and count only if all are.
   */
  isSilent(id: TargetId): boolean {
    const informants = this.connectedControls().filter(
      control => control.isInformant,
    );
    const informed = informants.filter(control => control.status?.leader);
    const counted = informed.length > 0 ? informed : informants;
    const silentCount = counted.filter(control =>
      control.silentTargets.has(id),
    ).length;
    return silentCount > counted.length / 2;
  }

  forgetTarget(id: TargetId): void {
    for (const control of this.controls.values()) {
      control.silentTargets.delete(id);
    }
  }

  /**
   * The connected daemons, with the index of the state that each has. The leader,
   * which can confirm its state by itself, comes first.
   */
  stateSources(): readonly StateSource[] {
    const {leader} = this;
    const first = leader && this.controls.get(formatAddress(leader));
    return this.connectedControls()
      .sort((a, b) => Number(b === first) - Number(a === first))
      .map(({address, status}) => ({
        peer: this.links.peerAt(address)!,
        index: status?.index ?? 0,
      }));
  }

  close(): void {
    this.isClosed = true;
    clearTimeout(this.timer);
    this.links.close();
  }

  private addControl(address: Address): void {
    const key = formatAddress(address);
    if (this.controls.has(key)) return;
    this.controls.set(key, {
      address,
      rank: rankOf(this.options.instance, key),
      uninformedSinceMs: undefined,
      status: undefined,
      isInformant: false,
      silentTargets: new Set(),
    });
  }

  private connectedControls(): Control[] {
    return [...this.controls.values()].filter(control =>
      this.links.peerAt(control.address),
    );
  }

  private select(): void {
    if (this.isClosed) return;
    const nowMs = this.options.nowMs();
    const selection = selectControls(this.candidates(), this.leader, nowMs);
    for (const address of selection.open) this.open(address, nowMs);
    for (const address of selection.close) this.links.remove(address);
    for (const address of selection.informants) this.subscribe(address);
    for (const {address} of this.connectedControls()) {
      this.links.peerAt(address)!.keepalive = this.isLeader(address)
        ? PROMPT_KEEPALIVE
        : RELAXED_KEEPALIVE;
    }
    this.selectLater();
  }

  private candidates(): ControlCandidate[] {
    return [...this.controls.values()]
      .sort((a, b) => a.rank - b.rank)
      .map(({address, uninformedSinceMs}) => ({
        address,
        isLinked: this.links.has(address),
        uninformedSinceMs,
        hasOpenRequests:
          (this.links.peerAt(address)?.openRequestCount ?? 0) > 0,
      }));
  }

  /** Selects again while a linked daemon does not inform this entry. */
  private selectLater(): void {
    if (this.timer) return;
    const isWaiting = [...this.controls.values()].some(
      ({address, uninformedSinceMs}) =>
        uninformedSinceMs !== undefined && this.links.has(address),
    );
    if (!isWaiting) return;
    this.timer = setTimeout(() => {
      this.timer = undefined;
      this.select();
    }, REPLACE_UNINFORMED_AFTER_MS);
  }

  private open(address: Address, nowMs: number): void {
    const control = this.controls.get(formatAddress(address))!;
    control.uninformedSinceMs = nowMs;
    this.links.add(address);
  }

  private isLeader(address: Address): boolean {
    const {leader} = this;
    return leader?.host === address.host && leader.port === address.port;
  }

  /** Asks a connected daemon for its targets and their changes. */
  private subscribe(address: Address): void {
    const control = this.controls.get(formatAddress(address))!;
    const peer = this.links.peerAt(address);
    if (peer === undefined || control.isInformant) return;
    control.isInformant = true;
    this.sendHello(peer, true);
    this.options.onInformantsChanged();
  }

  private sendHello(peer: Peer, receivesTargets: boolean): void {
    const {instance, incarnation, zone, relay} = this.options;
    const hello: Hello = {
      instance,
      incarnation,
      role: 'entry',
      zone,
      receivesTargets,
      ...(relay && {relay}),
      handlesRollouts: true,
    };
    peer.notify('hello', hello);
  }

  private onUp(address: Address, peer: Peer): void {
    const key = formatAddress(address);
    const control = this.controls.get(key)!;
    peer.tag = key;
    control.status = undefined;
    control.isInformant = false;
    control.silentTargets.clear();
    this.options.logger.info('control_link_up', {control: key});
    this.select();
    if (!control.isInformant) this.sendHello(peer, false);
    if (this.isLeader(address)) this.options.onLeader(peer);
  }

  private onDown(address: Address, reason: CloseReason | undefined): void {
    const key = formatAddress(address);
    const control = this.controls.get(key)!;
    const wasInformant = control.isInformant;
    const isKept = this.links.has(address);
    control.status = undefined;
    control.isInformant = false;
    control.uninformedSinceMs = isKept ? this.options.nowMs() : undefined;
    const event = isKept ? 'control_link_down' : 'control_link_closed';
    this.options.logger.info(event, {control: key, reason});
    this.relayPeers.onControlDown(key);
    this.chooseLeader();
    if (isKept) this.select();
    if (wasInformant) this.options.onInformantsChanged();
  }

  private onStatus(status: GroupStatus, peer: Peer): void {
    const control = this.controls.get(peer.tag ?? '');
    if (control === undefined) return;
    control.status = status;
    this.recordEntryCount();
    if (status.leader) control.uninformedSinceMs = undefined;
    else control.uninformedSinceMs ??= this.options.nowMs();
    for (const member of status.members) this.addControl(member);
    this.chooseLeader();
    this.select();
    this.options.onStatus();
  }

  private onTargets(message: TargetsMessage, peer: Peer): void {
    const control = this.controls.get(peer.tag ?? '');
    if (control === undefined) return;
    for (const update of message.items) {
      const {id} = update.announcement;
      if (update.isSilent) control.silentTargets.add(id);
      else control.silentTargets.delete(id);
      this.options.onTarget(update);
    }
  }

  private chooseLeader(): void {
    let best: GroupStatus | undefined;
    for (const {status} of this.connectedControls()) {
      if (status?.leader && status.term >= (best?.term ?? 0)) best = status;
    }
    const previous = this.leader && formatAddress(this.leader);
    const next = best?.leader && formatAddress(best.leader);
    const term = best?.term ?? 0;
    this.leader = best?.leader;
    if (this.leader) this.addControl(this.leader);
    if (previous === next && term === this.leaderTerm) return;
    this.leaderTerm = term;
    const event = next === undefined ? 'leader_lost' : 'leader_known';
    this.options.logger.info(event, {leader: next, term});
    this.options.onLeader(this.leaderPeer);
  }
}

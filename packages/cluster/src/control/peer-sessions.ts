/**
 * Handles opened and closed links of other daemons at a control daemon:
 * subscribes the daemon, sends it the initial state, and releases the
 * reservations of an entry that is gone or has restarted.
 */
import {randomUUID} from 'node:crypto';
import type {InstanceId, Logger, ZoneId} from '@samphirefield/core';
import {viewOf} from '@samphirefield/policy/quarantine';
import type {Address, CloseReason, Peer} from '../link/index.js';
import type {GroupReplica} from './group-replica.js';
import type {Hello} from './messages.js';
import type {ReservationManager} from './reservations.js';
import type {StatementKeeper} from './statement-keeper.js';
import type {StatusReporter} from './status-reporter.js';
import type {Subscribers} from './subscribers.js';
import {targetLines} from './target-lines.js';
import type {TargetRegistry} from './target-registry.js';

/** An entry whose link broke keeps its reservations this long. */
const ENTRY_RECONNECT_GRACE_MS = 1_500;

export interface PeerSessionsOptions {
  readonly instance: InstanceId;
  readonly zone: ZoneId;
  readonly address: Address;
  readonly logger: Logger;
  /** Undefined while the storage of the replica is not open. */
  readonly group: () => GroupReplica | undefined;
  readonly isLeader: () => boolean;
  readonly subscribers: Subscribers;
  readonly status: StatusReporter;
  readonly registry: TargetRegistry;
  readonly reservations: ReservationManager;
  readonly statements: StatementKeeper;
  /** Called with the address of a control daemon that links to this one. */
  readonly onControl: (address: Address, zone: ZoneId) => void;
}

export class PeerSessions {
  private readonly incarnation = randomUUID();
  private readonly entryIncarnations = new Map<InstanceId, string>();
  /** Links that were closed for the size of what they carried. */
  oversizedCount = 0;

  constructor(private readonly options: PeerSessionsOptions) {}

  sendHello(peer: Peer): void {
    const {instance, zone, address} = this.options;
    const {incarnation} = this;
    const hello: Hello = {
      instance,
      incarnation,
      role: 'control',
      zone,
      receivesTargets: true,
      address,
      handlesRollouts: true,
    };
    peer.notify('hello', hello);
  }

  onHello(hello: Hello, peer: Peer): void {
    const {subscribers, status, registry, logger, onControl} = this.options;
    this.releaseEarlierIncarnation(hello);
    subscribers.add(peer, hello);
    // Reports go from the side that accepts a link to the one that opens it.
    if (hello.address) onControl(hello.address, hello.zone);
    // The shortest message goes first: receivers treat a long first message as
    // noise.
    peer.notify('status', status.current());
    // An entry needs these restrictions before it knows any target.
    if (hello.role === 'entry') this.sendRestrictions(peer);
    if (hello.receivesTargets)
      void peer.notifyLines(targetLines(registry.updates()));
    logger.info('subscriber', {peer: hello.instance, role: hello.role});
  }

  onClosed(peer: Peer): void {
    const {subscribers, reservations, logger} = this.options;
    const hello = subscribers.remove(peer);
    this.countOversized(peer.closeReason);
    if (peer.closeReason !== 'ended') {
      const {closeReason: reason} = peer;
      logger.warn('link_closed', {peer: hello?.instance, reason});
    }
    if (hello?.role !== 'entry') return;
    setTimeout(() => {
      if (subscribers.has(hello.instance)) return;
      reservations.releaseEntry(hello.instance);
      this.entryIncarnations.delete(hello.instance);
    }, ENTRY_RECONNECT_GRACE_MS);
  }

  countOversized(reason: CloseReason | undefined): void {
    const isOversized =
      reason === 'line_too_long' || reason === 'reads_too_slowly';
    if (isOversized) this.oversizedCount += 1;
  }

  private sendRestrictions(peer: Peer): void {
    const {isLeader, statements} = this.options;
    const group = this.options.group();
    if (group) peer.notify('quarantine', viewOf(group.quarantine));
    if (isLeader()) peer.notify('statements', {reports: statements.reports()});
  }

  /** Releases what an entry held before its process restarted. */
  private releaseEarlierIncarnation({
    instance,
    incarnation,
    role,
  }: Hello): void {
    const previous = this.entryIncarnations.get(instance);
    this.entryIncarnations.set(instance, incarnation);
    const hasRestarted = previous !== undefined && previous !== incarnation;
    if (role === 'entry' && hasRestarted)
      this.options.reservations.releaseEntry(instance);
  }
}

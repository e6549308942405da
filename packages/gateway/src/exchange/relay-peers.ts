/**
 * The peers through which this process relays, in random order. A peer that
 * failed, sent nothing or refused a service comes last for a while.
 */
import type {InstanceId, ServiceId} from '@samphirefield/core';
import type {RelayPeer} from './relay-types.js';

/** The peer's own cut may have ended after this time. */
export const REFUSED_PAUSE_MS = 500;
/** A daemon that was restarted is back after this time. */
const FAILED_PAUSE_MS = 1_500;
/** Of those that failed or refused lately, a request tries so many. */
const MAX_PAUSED_PEERS = 2;

export interface RelayPeersOptions {
  /** The peers that the control group names. */
  readonly list: () => readonly RelayPeer[];
  readonly nowMs: () => number;
  /** A random number in [0, 1). */
  readonly random: () => number;
}

export class RelayPeers {
  private readonly failedUntilMs = new Map<InstanceId, number>();
  private readonly silentUntilMs = new Map<InstanceId, number>();
  private readonly refusedUntilMs = new Map<string, number>();

  constructor(private readonly options: RelayPeersOptions) {}

  /** The peers for a request to the service, the promising ones first. */
  candidates(service: ServiceId): readonly RelayPeer[] {
    this.forgetEnded();
    const peers = this.shuffle(this.options.list());
    const isPaused = (peer: RelayPeer) => this.isPaused(peer, service);
    return [
      ...peers.filter(peer => !isPaused(peer)),
      ...peers.filter(isPaused).slice(0, MAX_PAUSED_PEERS),
    ];
  }

  noteFailed({instance}: RelayPeer): void {
    const untilMs = this.options.nowMs() + FAILED_PAUSE_MS;
    this.failedUntilMs.set(instance, untilMs);
  }

  noteSilent({instance}: RelayPeer): void {
    const untilMs = this.options.nowMs() + FAILED_PAUSE_MS;
    this.silentUntilMs.set(instance, untilMs);
  }

  /** A peer that was only slow has sent something. */
  noteAlive({instance}: RelayPeer): void {
    this.silentUntilMs.delete(instance);
  }

  noteRefused({instance}: RelayPeer, service: ServiceId): void {
    const untilMs = this.options.nowMs() + REFUSED_PAUSE_MS;
    this.refusedUntilMs.set(keyOf(instance, service), untilMs);
  }

  private isPaused({instance}: RelayPeer, service: ServiceId): boolean {
    return (
      this.refusedUntilMs.has(keyOf(instance, service)) ||
      this.failedUntilMs.has(instance) ||
      this.silentUntilMs.has(instance)
    );
  }

  private shuffle(peers: readonly RelayPeer[]): RelayPeer[] {
    return peers
      .map(peer => ({peer, rank: this.options.random()}))
      .sort((a, b) => a.rank - b.rank)
      .map(({peer}) => peer);
  }

  private forgetEnded(): void {
    const nowMs = this.options.nowMs();
    const all = [this.failedUntilMs, this.silentUntilMs, this.refusedUntilMs];
    for (const pauses of all) {
      for (const [key, untilMs] of pauses)
        if (untilMs <= nowMs) (pauses as Map<string, number>).delete(key);
    }
  }
}

function keyOf(instance: InstanceId, service: ServiceId): string {
  return `${instance} ${service}`;
}

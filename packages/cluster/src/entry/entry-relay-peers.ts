/**
 * The entries through which this one can relay requests, as control daemons name
 * them. While no linked daemon has named any, the last list remains.
 */
import type {InstanceId} from '@samphirefield/core';
import type {RelayPeer} from '@samphirefield/gateway';

interface PeerList {
  readonly peers: readonly RelayPeer[];
  /** Whether the link to the daemon that sent it has closed since. */
  isStale: boolean;
}

export class EntryRelayPeers {
  private readonly lists = new Map<string, PeerList>();
  private combined: readonly RelayPeer[] = [];

  /** The first peers of all daemons, then their second ones, and so on. */
  get list(): readonly RelayPeer[] {
    return this.combined;
  }

  /** Replaces the list of a control daemon. */
  learn(control: string, peers: readonly RelayPeer[]): void {
    const isFirst = this.lists.get(control)?.isStale ?? true;
    // A daemon that has just started knows no other entry yet.
    if (isFirst && peers.length === 0) return;
    this.lists.set(control, {peers, isStale: false});
    this.dropStale();
  }

  onControlDown(control: string): void {
    const list = this.lists.get(control);
    if (list === undefined) return;
    list.isStale = true;
    this.dropStale();
  }

  /** Keeps stale lists only while there is no other. */
  private dropStale(): void {
    const lists = [...this.lists];
    if (lists.some(([, {isStale}]) => !isStale)) {
      for (const [control, {isStale}] of lists)
        if (isStale) this.lists.delete(control);
    }
    this.combine();
  }

  private combine(): void {
    const lists = [...this.lists.values()].map(({peers}) => peers);
    const length = Math.max(0, ...lists.map(peers => peers.length));
    const byInstance = new Map<InstanceId, RelayPeer>();
    for (let rank = 0; rank < length; rank += 1) {
      for (const peers of lists) {
        const peer = peers[rank];
        if (peer) byInstance.set(peer.instance, peer);
      }
    }
    this.combined = [...byInstance.values()];
  }
}

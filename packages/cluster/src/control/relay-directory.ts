/**
 * Tells the linked entries through which other entries they can relay requests.
 * A control daemon knows the entries that are linked to it; entries combine what
 * several daemons tell them. Lists are sent only when they change.
 */
import {assignRelayPeers} from '@samphirefield/policy/relay-peers';
import type {RelayPeer} from '@samphirefield/gateway';
import type {Peer} from '../link/index.js';
import type {Hello, RelayPeersMessage} from './messages.js';
import type {Subscribers} from './subscribers.js';

interface RelayingEntry extends RelayPeer {
  readonly link: Peer;
}

function toRelayingEntry([link, hello]: [Peer, Hello]): RelayingEntry[] {
  const {instance, zone, role, relay} = hello;
  if (role !== 'entry' || relay === undefined) return [];
  const {host, port, token} = relay;
  return [{link, instance, zone, host, port, token}];
}

export class RelayDirectory {
  private readonly sentText = new WeakMap<Peer, string>();
  private knownRevision = 0;

  constructor(private readonly subscribers: Subscribers) {}

  /** Sends each list that has changed; entries of earlier builds get none. */
  sendIfChanged(): void {
    const {revision, all} = this.subscribers;
    if (revision === this.knownRevision) return;
    this.knownRevision = revision;
    // An entry that has linked anew is there twice for a while.
    const entries = new Map(
      all.flatMap(toRelayingEntry).map(entry => [entry.instance, entry]),
    );
    const members = [...entries.values()];
    const peersOf = assignRelayPeers(members);
    for (const {instance, link} of members)
      this.send(link, peersOf.get(instance) ?? []);
  }

  private send(link: Peer, chosen: readonly RelayingEntry[]): void {
    const peers = chosen.map(({instance, zone, host, port, token}) => {
      return {instance, zone, host, port, token};
    });
    const text = JSON.stringify(peers);
    if (this.sentText.get(link) === text) return;
    this.sentText.set(link, text);
    const message: RelayPeersMessage = {peers};
    link.notify('relay_peers', message);
  }
}

/** The daemons that are subscribed to a control daemon's updates. */
import type {InstanceId} from '@samphirefield/core';
import type {QuarantineView} from '@samphirefield/policy/quarantine';
import {serializeNotification, type Peer} from '../link/index.js';
import type {
  GroupStatus,
  Hello,
  StatementsMessage,
  TargetUpdate,
} from './messages.js';
import {targetLines} from './target-lines.js';

export class Subscribers {
  private readonly hellos = new Map<Peer, Hello>();
  /** Changes whenever a daemon subscribes or leaves. */
  revision = 0;

  get all(): [Peer, Hello][] {
    return [...this.hellos];
  }

  get count(): number {
    return this.hellos.size;
  }

  get entryCount(): number {
    return this.entries.length;
  }

  get entries(): InstanceId[] {
    const entries = [...this.hellos.values()].filter(
      hello => hello.role === 'entry',
    );
    return [...new Set(entries.map(hello => hello.instance))];
  }

  /** Whether the builds of all subscribers support rollouts. */
  get doAllHandleRollouts(): boolean {
    return [...this.hellos.values()].every(hello => hello.handlesRollouts);
  }

  add(peer: Peer, hello: Hello): void {
    this.hellos.set(peer, hello);
    this.revision += 1;
  }

  /** Returns the peer's hello, or undefined if it was not subscribed. */
  remove(peer: Peer): Hello | undefined {
    const hello = this.hellos.get(peer);
    this.hellos.delete(peer);
    this.revision += 1;
    return hello;
  }

  has(instance: InstanceId): boolean {
    return [...this.hellos.values()].some(hello => hello.instance === instance);
  }

  sendStatus(status: GroupStatus): void {
    const line = serializeNotification('status', status);
    for (const peer of this.hellos.keys()) peer.notifyLine(line);
  }

  /** Sends to the entries, whether or not they want targets. */
  sendQuarantine(view: QuarantineView): void {
    const line = serializeNotification('quarantine', view);
    for (const [peer, hello] of this.hellos) {
      if (hello.role === 'entry') peer.notifyLine(line);
    }
  }

  sendStatements(message: StatementsMessage): void {
    const line = serializeNotification('statements', message);
    for (const [peer, hello] of this.hellos) {
      if (hello.role === 'entry') peer.notifyLine(line);
    }
  }

  sendTargets(role: Hello['role'], items: readonly TargetUpdate[]): void {
    const lines = [...targetLines(items)];
    for (const [peer, hello] of this.hellos) {
      const isReceiver = hello.role === role && hello.receivesTargets;
      if (!isReceiver) continue;
      for (const line of lines) peer.notifyLine(line);
    }
  }
}

/**
 * Announcements that change nothing but the time of a target's last one. They
 * are sent to the other control daemons together, the newest of each target.
 */
import type {TargetId} from '@samphirefield/core';
import type {TargetUpdate} from './messages.js';
import type {Subscribers} from './subscribers.js';

export class PendingRenewals {
  private updates = new Map<TargetId, TargetUpdate>();

  constructor(private readonly subscribers: Subscribers) {}

  add(update: TargetUpdate): void {
    this.updates.set(update.announcement.id, update);
  }

  send(): void {
    if (this.updates.size === 0) return;
    const items = [...this.updates.values()];
    this.updates = new Map();
    this.subscribers.sendTargets('control', items);
  }
}

/**
 * Registry of the targets announced to the control daemons; reports changes
 * through its callbacks.
 */
import type {Logger, TargetId} from '@samphirefield/core';
import {
  removeExpired,
  markGone,
  mergeAnnouncement,
  type TargetAnnouncement,
  type TargetRecord,
  type TargetTable,
} from '@samphirefield/gateway';
import type {TargetUpdate} from './messages.js';

const REMOVE_AFTER_MS = 120_000;

export interface TargetRegistryOptions {
  readonly silentAfterMs: number;
  readonly logger: Logger;
  readonly nowMs: () => number;
  /** Called for changes that every daemon must receive. */
  readonly onChange: (record: TargetRecord, isSilent: boolean) => void;
  /** Called when a target that was gone or silent for long is removed. */
  readonly onRemoved: (id: TargetId) => void;
  /**
   * Called for announcements received from the target itself, which the other
   * control daemons must receive too.
   */
  readonly onDirectAnnouncement: (
    record: TargetRecord,
    isChange: boolean,
  ) => void;
}

export class TargetRegistry {
  private readonly table: TargetTable = new Map();
  private readonly silentTargets = new Set<TargetId>();

  constructor(private readonly options: TargetRegistryOptions) {}

  get size(): number {
    return this.table.size;
  }

  find(id: TargetId): TargetRecord | undefined {
    return this.table.get(id);
  }

  /** Targets that are ready and not silent. */
  *readyTargets(): Generator<TargetAnnouncement, void, void> {
    for (const {announcement} of this.table.values()) {
      const isSilent = this.silentTargets.has(announcement.id);
      if (announcement.state === 'ready' && !isSilent) yield announcement;
    }
  }

  /** Applies an announcement received from the target itself. */
  announce(announcement: TargetAnnouncement): void {
    this.merge(announcement, 0, true);
  }

  /** Marks a target as gone after it deregistered. */
  deregister(id: TargetId): void {
    const announcement = markGone(this.table, id);
    if (announcement === undefined) return;
    const record = this.table.get(id)!;
    this.logChange(announcement, 'itself');
    this.options.onChange(record, false);
    this.options.onDirectAnnouncement(record, true);
  }

  /**
   * Applies an update from another control daemon; ignores targets silent
   * there.
   */
  mergeUpdate(update: TargetUpdate): void {
    if (update.isSilent) return;
    this.merge(update.announcement, update.ageMs, false);
  }

  /** Removes old records and reports targets that have become silent. */
  tick(): void {
    const nowMs = this.options.nowMs();
    for (const id of removeExpired(this.table, nowMs, REMOVE_AFTER_MS)) {
      this.silentTargets.delete(id);
      this.options.onRemoved(id);
    }
    for (const [id, record] of this.table) {
      const isSilent = nowMs - record.lastSeenAtMs > this.options.silentAfterMs;
      if (!isSilent || this.silentTargets.has(id)) continue;
      this.silentTargets.add(id);
      if (record.announcement.state === 'gone') continue;
      this.options.logger.warn('target_silent', {
        target: id,
        silent_ms: Math.round(nowMs - record.lastSeenAtMs),
      });
      this.options.onChange(record, true);
    }
  }

  /** All targets, each as it is when the iteration reaches it. */
  *updates(): Generator<TargetUpdate, void, void> {
    for (const record of this.table.values()) yield this.toUpdate(record);
  }

  toUpdate(record: TargetRecord): TargetUpdate {
    const {announcement, lastSeenAtMs} = record;
    const ageMs = Math.max(0, this.options.nowMs() - lastSeenAtMs);
    return {
      announcement,
      ageMs,
      isSilent: this.silentTargets.has(announcement.id),
    };
  }

  private merge(
    announcement: TargetAnnouncement,
    ageMs: number,
    isDirect: boolean,
  ): void {
    const {id} = announcement;
    const nowMs = this.options.nowMs();
    const outcome = mergeAnnouncement(
      this.table,
      announcement,
      nowMs,
      ageMs,
      replaced => {
        this.logChange(replaced.announcement, 'its successor');
        this.options.onChange(replaced, false);
      },
    );
    if (outcome === 'stale') return;
    const wasSilent = this.silentTargets.delete(id);
    const record = this.table.get(id)!;
    const isChange = outcome === 'changed' || wasSilent;
    if (isChange) {
      this.logChange(announcement, isDirect ? 'itself' : 'a peer');
      this.options.onChange(record, false);
    }
    if (isDirect) this.options.onDirectAnnouncement(record, isChange);
  }

  private logChange(announcement: TargetAnnouncement, from: string): void {
    this.options.logger.info('target_changed', {
      target: announcement.id,
      state: announcement.state,
      service: announcement.service,
      zone: announcement.zone,
      address: `${announcement.host}:${announcement.port}`,
      sequence: announcement.sequence,
      cold_ms: announcement.coldLeftMs,
      heard_from: from,
    });
  }
}

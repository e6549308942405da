/** The targets as a control daemon knows them, and who is told of changes. */
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

const FORGET_MS = 120_000;

export interface TargetRegistryOptions {
  readonly silentAfterMs: number;
  readonly logger: Logger;
  readonly nowMs: () => number;
  /** Something that every daemon has to know. */
  readonly onChange: (record: TargetRecord, isSilent: boolean) => void;
  /** A target that was gone or silent for long. */
  readonly onRemoved: (id: TargetId) => void;
  /** A target's own word, heard here first; for the other control daemons. */
  readonly onDirectAnnouncement: (
    record: TargetRecord,
    isChange: boolean,
  ) => void;
}

export class TargetRegistry {
  private readonly table: TargetTable = new Map();
  private readonly silent = new Set<TargetId>();

  constructor(private readonly options: TargetRegistryOptions) {}

  get size(): number {
    return this.table.size;
  }

  find(id: TargetId): TargetRecord | undefined {
    return this.table.get(id);
  }

  /** Takes what a target says of itself. */
  announce(announcement: TargetAnnouncement): void {
    this.merge(announcement, 0, true);
  }

  /** Takes a target's farewell. */
  deregister(id: TargetId): void {
    const gone = markGone(this.table, id);
    if (gone === undefined) return;
    const record = this.table.get(id)!;
    this.log(gone, 'itself');
    this.options.onChange(record, false);
    this.options.onDirectAnnouncement(record, true);
  }

  /** Takes what another control daemon heard. */
  mergeUpdate(update: TargetUpdate): void {
    if (update.isSilent) return;
    this.merge(update.announcement, update.ageMs, false);
  }

  /** Finds targets that fell silent. */
  tick(): void {
    const nowMs = this.options.nowMs();
    for (const id of removeExpired(this.table, nowMs, FORGET_MS)) {
      this.silent.delete(id);
      this.options.onRemoved(id);
    }
    for (const [id, record] of this.table) {
      const isSilent = nowMs - record.lastSeenAtMs > this.options.silentAfterMs;
      if (!isSilent || this.silent.has(id)) continue;
      this.silent.add(id);
      if (record.announcement.state === 'gone') continue;
      this.options.logger.warn('target_silent', {
        target: id,
        silent_ms: Math.round(nowMs - record.lastSeenAtMs),
      });
      this.options.onChange(record, true);
    }
  }

  updates(): TargetUpdate[] {
    return [...this.table.values()].map(record => this.toUpdate(record));
  }

  toUpdate(record: TargetRecord): TargetUpdate {
    const {announcement, lastSeenAtMs: heardAtMs} = record;
    const ageMs = Math.max(0, this.options.nowMs() - heardAtMs);
    return {announcement, ageMs, isSilent: this.silent.has(announcement.id)};
  }

  private merge(
    announcement: TargetAnnouncement,
    ageMs: number,
    isFirstHand: boolean,
  ): void {
    const {id} = announcement;
    const nowMs = this.options.nowMs();
    const outcome = mergeAnnouncement(this.table, announcement, nowMs, ageMs);
    if (outcome === 'stale') return;
    const wasSilent = this.silent.delete(id);
    const record = this.table.get(id)!;
    const isChange = outcome === 'changed' || wasSilent;
    if (isChange) {
      this.log(announcement, isFirstHand ? 'itself' : 'a peer');
      this.options.onChange(record, false);
    }
    if (isFirstHand) this.options.onDirectAnnouncement(record, isChange);
  }

  private log(announcement: TargetAnnouncement, from: string): void {
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

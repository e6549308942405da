/** Targets as the leader knows them, from their announcements. */
import {targetId, type Announcement, type TargetId} from '@samphirefield/core';
import type {LeaderTables, TargetRow, TargetView} from './types.js';

function isRelevantChange(before: Announcement, after: Announcement): boolean {
  const KV_STEPS = 32;
  const kvStep = (item: Announcement) =>
    Math.floor(
      (item.load.kv_used_tokens * KV_STEPS) / Math.max(1, item.kv_tokens),
    );
  return (
    before.incarnation !== after.incarnation ||
    before.is_warm !== after.is_warm ||
    before.address !== after.address ||
    before.port !== after.port ||
    before.slots !== after.slots ||
    before.kv_tokens !== after.kv_tokens ||
    (before.leaving_in_ms === undefined) !==
      (after.leaving_in_ms === undefined) ||
    JSON.stringify(before.models) !== JSON.stringify(after.models) ||
    kvStep(before) !== kvStep(after) ||
    Math.abs(before.load.running - after.load.running) > before.slots / KV_STEPS
  );
}

/** Marks a row as news for entries. */
export function markChanged(tables: LeaderTables, row: TargetRow): void {
  tables.targetsVersion += 1;
  row.version = tables.targetsVersion;
}

export function recordAnnouncement(
  tables: LeaderTables,
  announcement: Announcement,
  lastSeenAtMs: number,
): void {
  const target = targetId(announcement.target);
  const reportedAtMs = lastSeenAtMs - announcement.load.age_ms;
  const known = tables.targets.get(target);
  if (known === undefined) {
    const row: TargetRow = {
      target,
      announcement,
      lastSeenAtMs,
      reportedAtMs,
      finishedSinceWarm: 0,
      isExpired: false,
      wasOutOfService: false,
      isRamping: false,
      backInServiceAtMs: Number.NEGATIVE_INFINITY,
      isUnaccountedLoadCharged: false,
      version: 0,
    };
    tables.targets.set(target, row);
    markChanged(tables, row);
    return;
  }
  if (lastSeenAtMs < known.lastSeenAtMs) return;
  const before = known.announcement;
  const isRestarted = before.incarnation !== announcement.incarnation;
  const turnedCold = before.is_warm && !announcement.is_warm;
  if (isRestarted || turnedCold) known.finishedSinceWarm = 0;
  if (isRestarted) resetUse(tables, target);
  const isNews = isRelevantChange(before, announcement) || known.isExpired;
  known.announcement = announcement;
  known.lastSeenAtMs = lastSeenAtMs;
  known.reportedAtMs = reportedAtMs;
  known.isExpired = false;
  if (isNews) markChanged(tables, known);
}

/** A restarted target runs nothing, but what was granted on it still counts. */
function resetUse(tables: LeaderTables, target: TargetId): void {
  for (const grant of tables.grants.get(target)?.values() ?? []) {
    grant.inUse = 0;
    grant.kvInUse = 0;
    grant.finished = 0;
    grant.minInUse = 0;
    grant.previousMinInUse = 0;
  }
}

export function toTargetView(row: TargetRow): TargetView {
  const {announcement} = row;
  return {
    target: row.target,
    incarnation: announcement.incarnation,
    zone: announcement.zone as TargetView['zone'],
    service: announcement.service as TargetView['service'],
    address: announcement.address,
    port: announcement.port,
    models: announcement.models,
    slots: announcement.slots,
    kvTokens: announcement.kv_tokens,
    isWarm: announcement.is_warm,
    isLeaving: announcement.leaving_in_ms !== undefined,
    isLapsed: row.isExpired,
    running: announcement.load.running,
    kvUsedTokens: announcement.load.kv_used_tokens,
  };
}

/** Keeps the leader's records of targets, from the targets' announcements. */
import {targetId, type Announcement, type TargetId} from '@samphirefield/core';
import type {LeaderTables, TargetRow, TargetView} from './types.js';

/**
 * Whether entries need to receive the change. Load counts only in steps, so that
 * not every announcement is sent on.
 */
function isRelevantChange(before: Announcement, after: Announcement): boolean {
  const LOAD_STEPS = 32;
  const kvStep = (item: Announcement) =>
    Math.floor(
      (item.load.kv_used_tokens * LOAD_STEPS) / Math.max(1, item.kv_tokens),
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
    Math.abs(before.load.running - after.load.running) >
      before.slots / LOAD_STEPS
  );
}

/** Gives a row a new version, so that it is sent to entries. */
export function markChanged(tables: LeaderTables, row: TargetRow): void {
  tables.targetsVersion += 1;
  row.version = tables.targetsVersion;
}

/**
 * Adds or updates the record of a target. An announcement older than the latest
 * one is ignored.
 */
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
  if (isRestarted) resetUsage(tables, target);
  const isChanged = isRelevantChange(before, announcement) || known.isExpired;
  known.announcement = announcement;
  known.lastSeenAtMs = lastSeenAtMs;
  known.reportedAtMs = reportedAtMs;
  known.isExpired = false;
  if (isChanged) markChanged(tables, known);
}

/** Clears the usage on a restarted target; the grants still count. */
function resetUsage(tables: LeaderTables, target: TargetId): void {
  for (const grant of tables.grants.get(target)?.values() ?? []) {
    grant.inUse = 0;
    grant.kvInUse = 0;
    grant.finished = 0;
    grant.minInUse = 0;
    grant.previousMinInUse = 0;
  }
}

/** Returns the part of a record that entries receive. */
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

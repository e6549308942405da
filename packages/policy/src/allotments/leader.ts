/**
 * The leader's side of the allotments.
 *
 * A grant counts in full until its holder has confirmed a smaller one or its
 * lease has run out, so lost and late messages never raise the sum above what
 * the target bears. After its lease, only what the holder still had running
 * counts, until the target's own report shows it gone.
 */
import type {Announcement, ServiceId, TargetId} from '@samphirefield/core';
import {targetId} from '@samphirefield/core';
import {
  createQuarantine,
  expireSuspects,
  recordDeath,
  recordSuccess,
} from '../quarantine/index.js';
import {affinityOf} from '../routing/index.js';
import {bearingOf, type Bearing} from './bearing.js';
import {divideUnits, type Share} from './divide.js';
import {nextSuspectTurn} from './suspect-turns.js';
import type {
  AllotmentTiming,
  EntryOrders,
  EntryReport,
  EntryRow,
  GivenAllotment,
  Grant,
  GrantsOfTarget,
  HeldAllotment,
  HolderId,
  LeaderTables,
  ServiceState,
  TargetRow,
  TargetView,
} from './types.js';

const IDLE_WEIGHT = 1;
const WEIGHT_PER_WAITING = 32;
const MAX_WAITING_WEIGHED = 16;
/** Memory is given out in chunks, so that a share can hold a whole request. */
const KV_CHUNKS_PER_TARGET = 64;

/** Tables of a leader that has just won; earlier grants may be in use. */
export function createLeaderTables(
  nowMs: number,
  timing: AllotmentTiming,
): LeaderTables {
  return {
    targets: new Map(),
    entries: new Map(),
    grants: new Map(),
    quarantine: createQuarantine(),
    graceEndMs: nowMs + timing.leaseMs + timing.clockDriftMs,
    targetsVersion: 1,
    suspectTurn: undefined,
  };
}

function isNewsForEntries(before: Announcement, after: Announcement): boolean {
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

function touch(tables: LeaderTables, row: TargetRow): void {
  tables.targetsVersion += 1;
  row.version = tables.targetsVersion;
}

export function recordAnnouncement(
  tables: LeaderTables,
  announcement: Announcement,
  heardAtMs: number,
): void {
  const target = targetId(announcement.target);
  const reportedAtMs = heardAtMs - announcement.load.age_ms;
  const known = tables.targets.get(target);
  if (known === undefined) {
    const row: TargetRow = {
      target,
      announcement,
      heardAtMs,
      reportedAtMs,
      finishedSinceWarm: 0,
      isLapsed: false,
      version: 0,
    };
    tables.targets.set(target, row);
    touch(tables, row);
    return;
  }
  if (heardAtMs < known.heardAtMs) return;
  const before = known.announcement;
  const isRestarted = before.incarnation !== announcement.incarnation;
  const turnedCold = before.is_warm && !announcement.is_warm;
  if (isRestarted || turnedCold) known.finishedSinceWarm = 0;
  if (isRestarted) forgetUse(tables, target);
  const isNews = isNewsForEntries(before, announcement) || known.isLapsed;
  known.announcement = announcement;
  known.heardAtMs = heardAtMs;
  known.reportedAtMs = reportedAtMs;
  known.isLapsed = false;
  if (isNews) touch(tables, known);
}

/** A restarted target runs nothing, but what was granted on it still counts. */
function forgetUse(tables: LeaderTables, target: TargetId): void {
  for (const grant of tables.grants.get(target)?.values() ?? []) {
    grant.inUse = 0;
    grant.kvInUse = 0;
    grant.finished = 0;
  }
}

function isLive(row: EntryRow | undefined, nowMs: number): boolean {
  return row !== undefined && nowMs < row.leaseEndMs;
}

function recordHeld(
  tables: LeaderTables,
  holder: HolderId,
  held: HeldAllotment,
): void {
  const row = tables.targets.get(held.target);
  const isSameRun =
    row === undefined || row.announcement.incarnation === held.incarnation;
  const grants = tables.grants.get(held.target) ?? new Map<HolderId, Grant>();
  tables.grants.set(held.target, grants);
  const inUse = isSameRun ? held.inUse : 0;
  const kvInUse = isSameRun ? held.kvInUse : 0;
  const earlier = grants.get(holder)?.finished ?? 0;
  if (row && isSameRun && row.announcement.is_warm) {
    row.finishedSinceWarm += Math.max(0, held.finished - earlier);
  }
  grants.set(holder, {
    slots: Math.max(held.slots, inUse),
    kvTokens: Math.max(held.kvTokens, kvInUse),
    inUse,
    kvInUse,
    finished: held.finished,
  });
}

function recordReport(
  tables: LeaderTables,
  report: EntryReport,
  nowMs: number,
): void {
  for (const {announcement, heardAgoMs} of report.announcements) {
    recordAnnouncement(tables, announcement, nowMs - heardAgoMs);
  }
  const heldTargets = new Set(report.held.map(held => held.target));
  for (const [target, grants] of tables.grants) {
    if (!heldTargets.has(target)) grants.delete(report.holder);
  }
  for (const held of report.held) recordHeld(tables, report.holder, held);
  for (const {death, fingerprints} of report.deaths) {
    recordDeath(tables.quarantine, death, fingerprints, nowMs);
  }
  for (const fingerprint of report.clearedSuspects) {
    recordSuccess(tables.quarantine, fingerprint);
  }
}

interface Weighted extends Share {
  readonly holder: HolderId;
  readonly inUse: number;
  readonly kvInUse: number;
}

function weightOf(row: EntryRow, service: ServiceId): number {
  const waiting =
    row.demand.find(item => item.service === service)?.waiting ?? 0;
  return (
    IDLE_WEIGHT + WEIGHT_PER_WAITING * Math.min(waiting, MAX_WAITING_WEIGHED)
  );
}

function liveShares(
  tables: LeaderTables,
  target: TargetRow,
  nowMs: number,
): Weighted[] {
  const shares: Weighted[] = [];
  const grants = tables.grants.get(target.target);
  for (const row of tables.entries.values()) {
    if (!isLive(row, nowMs)) continue;
    const grant = grants?.get(row.holder);
    shares.push({
      key: row.holder,
      holder: row.holder,
      weight: weightOf(row, target.announcement.service as ServiceId),
      tieBreak: affinityOf(row.holder, target.target),
      inUse: grant?.inUse ?? 0,
      kvInUse: grant?.kvInUse ?? 0,
    });
  }
  return shares;
}

interface Use {
  slots: number;
  kvTokens: number;
}

/** What entries that are gone may still have running on the target. */
function ghostUse(
  tables: LeaderTables,
  target: TargetRow,
  liveInUse: number,
  nowMs: number,
): Use {
  const use: Use = {slots: 0, kvTokens: 0};
  const grants = tables.grants.get(target.target) ?? new Map<HolderId, Grant>();
  for (const [holder, grant] of grants) {
    const row = tables.entries.get(holder);
    if (isLive(row, nowMs)) continue;
    const isReportNewer = target.reportedAtMs > (row?.leaseEndMs ?? 0);
    const unexplained = target.announcement.load.running - liveInUse;
    if (isReportNewer && unexplained <= 0) {
      grants.delete(holder);
      continue;
    }
    use.slots += grant.inUse;
    use.kvTokens += grant.kvInUse;
  }
  return use;
}

/** What the other holders may believe to have. */
function grantedToOthers(
  grants: GrantsOfTarget | undefined,
  tables: LeaderTables,
  holder: HolderId,
  nowMs: number,
): Use {
  const use: Use = {slots: 0, kvTokens: 0};
  for (const [other, grant] of grants ?? []) {
    if (other === holder) continue;
    const isHeld = isLive(tables.entries.get(other), nowMs);
    use.slots += isHeld ? Math.max(grant.slots, grant.inUse) : grant.inUse;
    use.kvTokens += isHeld
      ? Math.max(grant.kvTokens, grant.kvInUse)
      : grant.kvInUse;
  }
  return use;
}

/**
 * Divides one resource: each holder keeps what it uses and gets a share of what
 * is free. With more in use than the target bears, each gets a share of what it
 * bears instead: a place that falls free must not be filled again.
 */
function planShares(
  bearable: number,
  shares: readonly Weighted[],
  used: readonly number[],
  chunk: number,
): readonly number[] {
  const totalUsed = used.reduce((sum, value) => sum + value, 0);
  const free = bearable - totalUsed;
  if (free < 0) {
    const byUse = shares.map((share, position) => ({
      ...share,
      weight: used[position]!,
    }));
    return divideUnits(Math.max(0, bearable), byUse);
  }
  const chunks = divideUnits(Math.floor(free / chunk), shares);
  return chunks.map((count, position) => used[position]! + count * chunk);
}

/** The share that the plan gives to one holder, before what others still hold. */
function plannedShare(
  tables: LeaderTables,
  target: TargetRow,
  bearing: Bearing,
  holder: HolderId,
  nowMs: number,
): Bearing {
  const shares = liveShares(tables, target, nowMs);
  const position = shares.findIndex(share => share.holder === holder);
  const inUse = shares.map(share => share.inUse);
  const kvInUse = shares.map(share => share.kvInUse);
  const liveInUse = inUse.reduce((sum, value) => sum + value, 0);
  const ghosts = ghostUse(tables, target, liveInUse, nowMs);
  const chunk = Math.max(
    1,
    Math.floor(bearing.kvTokens / KV_CHUNKS_PER_TARGET),
  );
  const slots = planShares(bearing.slots - ghosts.slots, shares, inUse, 1);
  const kvTokens = planShares(
    bearing.kvTokens - ghosts.kvTokens,
    shares,
    kvInUse,
    chunk,
  );
  return {slots: slots[position] ?? 0, kvTokens: kvTokens[position] ?? 0};
}

function allot(
  tables: LeaderTables,
  target: TargetRow,
  bearing: Bearing,
  holder: HolderId,
  nowMs: number,
): GivenAllotment | undefined {
  const grants = tables.grants.get(target.target) ?? new Map<HolderId, Grant>();
  tables.grants.set(target.target, grants);
  const known = grants.get(holder);
  const others = grantedToOthers(grants, tables, holder, nowMs);
  const planned = plannedShare(tables, target, bearing, holder, nowMs);
  const isInGrace = nowMs < tables.graceEndMs;
  const mostSlots = isInGrace
    ? (known?.slots ?? 0)
    : bearing.slots - others.slots;
  const mostKv = isInGrace
    ? (known?.kvTokens ?? 0)
    : bearing.kvTokens - others.kvTokens;
  const slots = Math.max(0, Math.min(planned.slots, mostSlots));
  const kvTokens = Math.max(0, Math.min(planned.kvTokens, mostKv));
  if (slots === 0 && known === undefined) return undefined;
  grants.set(holder, {
    slots: Math.max(slots, known?.slots ?? 0),
    kvTokens: Math.max(kvTokens, known?.kvTokens ?? 0),
    inUse: known?.inUse ?? 0,
    kvInUse: known?.kvInUse ?? 0,
    finished: known?.finished ?? 0,
  });
  return {target: target.target, slots, kvTokens};
}

/** Renews what an entry holds on targets that this leader has not heard of. */
function renewUnknown(
  tables: LeaderTables,
  report: EntryReport,
  nowMs: number,
): GivenAllotment[] {
  if (nowMs >= tables.graceEndMs) return [];
  return report.held
    .filter(held => !tables.targets.has(held.target))
    .map(({target, slots, kvTokens}) => ({target, slots, kvTokens}));
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
    isLapsed: row.isLapsed,
    running: announcement.load.running,
    kvUsedTokens: announcement.load.kv_used_tokens,
  };
}

/** Handles one heartbeat; undefined for one that was overtaken by a later one. */
export function handleReport(
  tables: LeaderTables,
  report: EntryReport,
  state: ServiceState,
  timing: AllotmentTiming,
  nowMs: number,
): EntryOrders | undefined {
  const known = tables.entries.get(report.holder);
  if (known && report.sequence <= known.sequence) return undefined;
  tables.entries.set(report.holder, {
    holder: report.holder,
    instance: report.instance,
    zone: report.zone,
    sequence: report.sequence,
    heardAtMs: nowMs,
    leaseEndMs: nowMs + timing.leaseMs + timing.clockDriftMs,
    demand: report.demand,
    waitingSuspects: report.waitingSuspects,
    runningSuspects: report.runningSuspects,
  });
  recordReport(tables, report, nowMs);
  const allotments = renewUnknown(tables, report, nowMs);
  for (const target of tables.targets.values()) {
    const bearing = bearingOf(target, state);
    const given = allot(tables, target, bearing, report.holder, nowMs);
    if (given) allotments.push(given);
  }
  return {
    sequence: report.sequence,
    allotments,
    targetsVersion: tables.targetsVersion,
    targets: [...tables.targets.values()]
      .filter(row => row.version > report.knownTargetsVersion)
      .map(toTargetView),
    quarantineVersion: tables.quarantine.version,
    suspects: suspectsFor(tables, report),
    suspectTurns: nextSuspectTurn(tables, report.holder, nowMs),
  };
}

function suspectsFor(
  tables: LeaderTables,
  report: EntryReport,
): EntryOrders['suspects'] {
  const {quarantine} = tables;
  if (quarantine.version === report.knownQuarantineVersion) return undefined;
  return [...quarantine.suspects.values()].map(row => ({
    fingerprint: row.fingerprint,
    isQuarantined: row.isQuarantined,
  }));
}

/** Marks silent targets, and forgets entries and targets that are long gone. */
export function leaderTick(
  tables: LeaderTables,
  timing: AllotmentTiming,
  nowMs: number,
): readonly EntryRow[] {
  for (const row of tables.targets.values()) {
    const silentMs = nowMs - row.heardAtMs;
    if (!row.isLapsed && silentMs > timing.targetLapseMs) {
      row.isLapsed = true;
      touch(tables, row);
    }
    if (silentMs > timing.targetForgetMs) {
      tables.targets.delete(row.target);
      tables.grants.delete(row.target);
    }
  }
  expireSuspects(tables.quarantine, nowMs, timing.quarantineMs);
  return forgetEntries(tables, timing, nowMs);
}

function forgetEntries(
  tables: LeaderTables,
  timing: AllotmentTiming,
  nowMs: number,
): EntryRow[] {
  const gone: EntryRow[] = [];
  for (const row of tables.entries.values()) {
    if (nowMs < row.leaseEndMs + timing.targetLapseMs) continue;
    const isStillCharged = [...tables.grants.values()].some(
      grants => (grants.get(row.holder)?.inUse ?? 0) > 0,
    );
    if (isStillCharged) continue;
    for (const grants of tables.grants.values()) grants.delete(row.holder);
    tables.entries.delete(row.holder);
    gone.push(row);
  }
  return gone;
}

/**
 * The leader's side of the allotments.
 *
 * A grant counts in full until its holder has confirmed a smaller one or its
 * lease has run out, so lost and late messages never raise the sum above what
 * the target bears. After its lease, only what the holder still had running
 * counts, until the target's own report shows it gone.
 */
import type {ServiceId} from '@samphirefield/core';
import {
  createQuarantine,
  expireSuspects,
  recordCrash,
  recordSuccess,
} from '../quarantine/index.js';
import {rendezvousScore} from '../routing/index.js';
import {
  recordAnnouncement,
  toTargetView,
  markChanged,
} from './announcements.js';
import {capacityOf, trackService, type Capacity} from './capacity.js';
import {
  chargeUnaccountedLoad,
  hasExpiredHolders,
  isLive,
  trackMinUse,
  settleExpiredHolders,
} from './unaccounted-load.js';
import {planShares, type Claimant} from './plan-shares.js';
import {nextSuspectTurn} from './suspect-turns.js';
import type {
  AllocationTiming,
  ReportResponse,
  EntryReport,
  EntryRow,
  Allocation,
  Grant,
  GrantsOfTarget,
  HeldAllocation,
  HolderId,
  LeaderTables,
  ServiceState,
  TargetPlan,
  TargetRow,
} from './types.js';

/** Tables of a leader that has just won; earlier grants may be in use. */
export function createLeaderTables(
  nowMs: number,
  timing: AllocationTiming,
): LeaderTables {
  return {
    targets: new Map(),
    entries: new Map(),
    grants: new Map(),
    plans: new Map(),
    quarantine: createQuarantine(),
    hasUnaccountedLoad: false,
    graceEndMs: nowMs + timing.leaseMs + timing.clockDriftMs,
    targetsVersion: 1,
    suspectTurn: undefined,
  };
}

function recordHeldAllocation(
  tables: LeaderTables,
  holder: HolderId,
  held: HeldAllocation,
  nowMs: number,
): void {
  const row = tables.targets.get(held.target);
  const isSameRun =
    row === undefined || row.announcement.incarnation === held.incarnation;
  const grants = tables.grants.get(held.target) ?? new Map<HolderId, Grant>();
  tables.grants.set(held.target, grants);
  const inUse = isSameRun ? held.inUse : 0;
  const kvInUse = isSameRun ? held.kvInUse : 0;
  const known = grants.get(holder);
  const earlier = known?.finished ?? 0;
  const saysWarm =
    row?.announcement.is_warm && row.lastSeenAtMs > row.backInServiceAtMs;
  if (row && isSameRun && saysWarm) {
    row.finishedSinceWarm += Math.max(0, held.finished - earlier);
  }
  grants.set(holder, {
    slots: Math.max(held.slots, inUse),
    kvTokens: Math.max(held.kvTokens, kvInUse),
    inUse,
    kvInUse,
    finished: held.finished,
    ...trackMinUse(known, inUse, nowMs),
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
  for (const held of report.held) {
    recordHeldAllocation(tables, report.holder, held, nowMs);
  }
  for (const {death, fingerprints} of report.deaths) {
    recordCrash(tables.quarantine, death, fingerprints, nowMs);
  }
  for (const fingerprint of report.clearedSuspects) {
    recordSuccess(tables.quarantine, fingerprint);
  }
}

function liveClaimants(
  tables: LeaderTables,
  target: TargetRow,
  nowMs: number,
): Claimant[] {
  const claimants: Claimant[] = [];
  const grants = tables.grants.get(target.target);
  const service = target.announcement.service as ServiceId;
  for (const row of tables.entries.values()) {
    if (!isLive(row, nowMs)) continue;
    const grant = grants?.get(row.holder);
    const demand = row.demand.find(item => item.service === service);
    claimants.push({
      holder: row.holder,
      inUse: grant?.inUse ?? 0,
      kvInUse: grant?.kvInUse ?? 0,
      waiting: demand?.waiting ?? 0,
      kvNeedTokens: demand?.kvNeedTokens ?? 0,
      rank: rendezvousScore(row.holder, target.target),
    });
  }
  return claimants.sort((a, b) => b.rank - a.rank);
}

interface Use {
  slots: number;
  kvTokens: number;
}

function addUse(use: Use, slots: number, kvTokens: number): void {
  use.slots += slots;
  use.kvTokens += kvTokens;
}

/** What holders that are gone may still use. */
function expiredHolderUse(
  tables: LeaderTables,
  grants: GrantsOfTarget,
  nowMs: number,
): Use {
  const use: Use = {slots: 0, kvTokens: 0};
  for (const [holder, grant] of grants) {
    if (isLive(tables.entries.get(holder), nowMs)) continue;
    addUse(use, grant.inUse, grant.kvInUse);
  }
  return use;
}

/** What the other holders may believe to have, or may still use. */
function grantedToOthers(grants: GrantsOfTarget, holder: HolderId): Use {
  const use: Use = {slots: 0, kvTokens: 0};
  for (const [other, grant] of grants) {
    if (other === holder) continue;
    const slots = Math.max(grant.slots, grant.inUse);
    addUse(use, slots, Math.max(grant.kvTokens, grant.kvInUse));
  }
  return use;
}

/**
 * With many entries a plan is used again for a moment: it costs time for each
 * of them, at each heartbeat of each of them. What may be granted is always
 * bounded by what the others hold now.
 */
const MANY_ENTRIES = 16;
const PLAN_REUSE_MS = 100;

function isReusable(
  tables: LeaderTables,
  plan: TargetPlan | undefined,
  capacity: Capacity,
  nowMs: number,
): plan is TargetPlan {
  return (
    plan !== undefined &&
    tables.entries.size > MANY_ENTRIES &&
    nowMs - plan.plannedAtMs < PLAN_REUSE_MS &&
    plan.capacity.slots === capacity.slots &&
    plan.capacity.kvTokens === capacity.kvTokens
  );
}

function planTarget(
  tables: LeaderTables,
  target: TargetRow,
  grants: GrantsOfTarget,
  capacity: Capacity,
  nowMs: number,
): TargetPlan {
  const claimants = liveClaimants(tables, target, nowMs);
  const ghosts = expiredHolderUse(tables, grants, nowMs);
  const given = planShares(claimants, {
    slots: capacity.slots - ghosts.slots,
    kvTokens: capacity.kvTokens - ghosts.kvTokens,
  });
  const shares = new Map(
    claimants.map(({holder}, position) => [holder, given[position]!]),
  );
  return {plannedAtMs: nowMs, capacity, shares};
}

/** The share that the plan gives to one holder, before what others still hold. */
function plannedShare(
  tables: LeaderTables,
  target: TargetRow,
  grants: GrantsOfTarget,
  capacity: Capacity,
  holder: HolderId,
  nowMs: number,
): Capacity {
  const known = tables.plans.get(target.target);
  const isKnown = isReusable(tables, known, capacity, nowMs);
  const plan = isKnown
    ? known
    : planTarget(tables, target, grants, capacity, nowMs);
  tables.plans.set(target.target, plan);
  return plan.shares.get(holder) ?? {slots: 0, kvTokens: 0};
}

/**
 * What a new leader may renew while it has not heard from all holders: all of
 * it on a target that bears its full load, nothing on one that does not, since
 * the others may hold the little that it bears.
 */
function renewableCapacity(
  target: TargetRow,
  capacity: Capacity,
  known: Grant | undefined,
): Capacity {
  const bearsAll = capacity.slots >= target.announcement.slots;
  if (known === undefined || !bearsAll) return {slots: 0, kvTokens: 0};
  return {slots: known.slots, kvTokens: known.kvTokens};
}

function allocate(
  tables: LeaderTables,
  target: TargetRow,
  capacity: Capacity,
  holder: HolderId,
  hasGone: boolean,
  nowMs: number,
): Allocation | undefined {
  const grants = tables.grants.get(target.target) ?? new Map<HolderId, Grant>();
  tables.grants.set(target.target, grants);
  chargeUnaccountedLoad(tables, target, grants, nowMs);
  if (hasGone) settleExpiredHolders(tables, target, grants, nowMs);
  const known = grants.get(holder);
  const others = grantedToOthers(grants, holder);
  const planned = plannedShare(tables, target, grants, capacity, holder, nowMs);
  const most =
    nowMs < tables.graceEndMs
      ? renewableCapacity(target, capacity, known)
      : {
          slots: capacity.slots - others.slots,
          kvTokens: capacity.kvTokens - others.kvTokens,
        };
  const slots = Math.max(0, Math.min(planned.slots, most.slots));
  const kvTokens = Math.max(0, Math.min(planned.kvTokens, most.kvTokens));
  if (slots === 0 && known === undefined) return undefined;
  grants.set(holder, {
    slots: Math.max(slots, known?.slots ?? 0),
    kvTokens: Math.max(kvTokens, known?.kvTokens ?? 0),
    inUse: known?.inUse ?? 0,
    kvInUse: known?.kvInUse ?? 0,
    finished: known?.finished ?? 0,
    ...trackMinUse(known, known?.inUse ?? 0, nowMs),
  });
  return {target: target.target, slots, kvTokens};
}

/** Renews what an entry holds on targets that this leader has not heard of. */
function renewOnUnknownTargets(
  tables: LeaderTables,
  report: EntryReport,
  nowMs: number,
): Allocation[] {
  if (nowMs >= tables.graceEndMs) return [];
  return report.held
    .filter(held => !tables.targets.has(held.target))
    .map(({target, slots, kvTokens}) => ({target, slots, kvTokens}));
}

/** Handles one heartbeat; undefined for one that was overtaken by a later one. */
export function handleReport(
  tables: LeaderTables,
  report: EntryReport,
  state: ServiceState,
  timing: AllocationTiming,
  nowMs: number,
): ReportResponse | undefined {
  const known = tables.entries.get(report.holder);
  if (known && report.sequence <= known.sequence) return undefined;
  tables.entries.set(report.holder, {
    holder: report.holder,
    instance: report.instance,
    zone: report.zone,
    sequence: report.sequence,
    lastSeenAtMs: nowMs,
    leaseEndMs: nowMs + timing.leaseMs + timing.clockDriftMs,
    demand: report.demand,
    waitingSuspects: report.waitingSuspects,
    runningSuspects: report.runningSuspects,
  });
  recordReport(tables, report, nowMs);
  const allotments = renewOnUnknownTargets(tables, report, nowMs);
  const hasGone = hasExpiredHolders(tables, nowMs);
  for (const target of tables.targets.values()) {
    trackService(target, state, nowMs);
    const capacity = capacityOf(target, state);
    const {holder} = report;
    const given = allocate(tables, target, capacity, holder, hasGone, nowMs);
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
): ReportResponse['suspects'] {
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
  timing: AllocationTiming,
  nowMs: number,
): readonly EntryRow[] {
  for (const row of tables.targets.values()) {
    const silentMs = nowMs - row.lastSeenAtMs;
    if (!row.isExpired && silentMs > timing.targetExpiryMs) {
      row.isExpired = true;
      markChanged(tables, row);
    }
    if (silentMs > timing.targetRetentionMs) {
      tables.targets.delete(row.target);
      tables.grants.delete(row.target);
      tables.plans.delete(row.target);
    }
  }
  expireSuspects(tables.quarantine, nowMs, timing.quarantineMs);
  return forgetEntries(tables, timing, nowMs);
}

function forgetEntries(
  tables: LeaderTables,
  timing: AllocationTiming,
  nowMs: number,
): EntryRow[] {
  const gone: EntryRow[] = [];
  for (const row of tables.entries.values()) {
    if (nowMs < row.leaseEndMs + timing.targetExpiryMs) continue;
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

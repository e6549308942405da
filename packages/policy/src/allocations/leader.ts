/**
 * Allocates the capacity of every target to the entries, on the leader.
 *
 * A grant counts in full until its holder has confirmed a smaller one or the
 * holder's lease has expired, so lost and late messages never raise the sum of
 * the grants above the target's capacity. After the lease, the work that the
 * holder may still have running counts, until the target's own report rules it
 * out.
 */
import {
  createQuarantine,
  expireSuspects,
  inheritQuarantine,
  partSuspects,
  ISOLATED_SUSPECT_THRESHOLDS,
  recordCrashes,
  recordSuccess,
  requestSuspect,
  viewOf,
  type QuarantineTable,
} from '../quarantine/index.js';
import {
  recordAnnouncement,
  toTargetView,
  markChanged,
} from './announcements.js';
import {capacityOf, trackServiceState, type Capacity} from './capacity.js';
import {
  chargeUnaccountedLoad,
  hasExpiredHolders,
  trackMinUsage,
  settleExpiredHolders,
} from './unaccounted-load.js';
import {nextSuspectPermits} from './suspect-permits.js';
import {grantedToOthers, plannedShare} from './target-plan.js';
import type {
  AllocationTiming,
  ReportResponse,
  EntryReport,
  EntryRow,
  Allocation,
  Grant,
  HeldAllocation,
  HolderId,
  LeaderTables,
  ServiceState,
  SuspectView,
  TargetRow,
} from './types.js';

/**
 * Creates the tables of a leader that was just elected. Until `graceEndMs`,
 * grants of an earlier leader may still be in use.
 */
export function createLeaderTables(
  nowMs: number,
  timing: AllocationTiming,
): LeaderTables {
  return {
    targets: new Map(),
    entries: new Map(),
    grants: new Map(),
    plans: new Map(),
    quarantine: createQuarantine(ISOLATED_SUSPECT_THRESHOLDS),
    hasUnaccountedLoad: false,
    graceEndMs: nowMs + timing.leaseMs + timing.clockDriftMs,
    targetsVersion: 1,
    suspectPermit: undefined,
  };
}

/**
 * Records the allocation and usage that a holder reports for one target. Usage
 * on an earlier incarnation of the target counts as 0.
 */
function recordHeldAllocation(
  tables: LeaderTables,
  holder: HolderId,
  held: HeldAllocation,
  nowMs: number,
): void {
  const row = tables.targets.get(held.target);
  const isSameIncarnation =
    row === undefined || row.announcement.incarnation === held.incarnation;
  const grants = tables.grants.get(held.target) ?? new Map<HolderId, Grant>();
  tables.grants.set(held.target, grants);
  const inUse = isSameIncarnation ? held.inUse : 0;
  const kvInUse = isSameIncarnation ? held.kvInUse : 0;
  const known = grants.get(holder);
  const previouslyFinished = known?.finished ?? 0;
  const isReportedWarm =
    row?.announcement.is_warm && row.lastSeenAtMs > row.backInServiceAtMs;
  if (row && isSameIncarnation && isReportedWarm) {
    row.finishedSinceWarm += Math.max(0, held.finished - previouslyFinished);
  }
  grants.set(holder, {
    slots: Math.max(held.slots, inUse),
    kvTokens: Math.max(held.kvTokens, kvInUse),
    inUse,
    kvInUse,
    finished: held.finished,
    ...trackMinUsage(known, inUse, nowMs),
  });
}

/**
 * Applies the contents of a heartbeat to the tables. A grant on a target that
 * the report no longer lists is dropped.
 */
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
  for (const {death, fingerprints, prompts} of report.deaths) {
    const suspects = [
      ...fingerprints.map(requestSuspect),
      ...prompts.flatMap(partSuspects),
    ];
    const evidence = {
      crash: death,
      suspects,
      failedTrials: [],
      wasAlone: false,
      isCertain: true,
    };
    recordCrashes(tables.quarantine, [evidence], nowMs);
  }
  inheritQuarantine(tables.quarantine, report.inheritedQuarantine, nowMs);
  for (const fingerprint of report.clearedSuspects) {
    recordSuccess(tables.quarantine, fingerprint);
  }
}

/**
 * Limits the renewal of a grant during a new leader's grace period, in which
 * some holders have not reported yet. On a target with full capacity the whole
 * grant may be renewed. On a target with reduced capacity nothing may, since
 * other holders may already hold all of it.
 */
function renewableCapacity(
  target: TargetRow,
  capacity: Capacity,
  known: Grant | undefined,
): Capacity {
  const hasFullCapacity = capacity.slots >= target.announcement.slots;
  if (known === undefined || !hasFullCapacity) return {slots: 0, kvTokens: 0};
  return {slots: known.slots, kvTokens: known.kvTokens};
}

/**
 * Grants one holder its share of a target, bounded by what the other holders
 * still hold. Returns undefined when there is nothing to grant or to renew.
 */
function allocate(
  tables: LeaderTables,
  target: TargetRow,
  capacity: Capacity,
  holder: HolderId,
  hasExpiredHolder: boolean,
  nowMs: number,
): Allocation | undefined {
  const grants = tables.grants.get(target.target) ?? new Map<HolderId, Grant>();
  tables.grants.set(target.target, grants);
  chargeUnaccountedLoad(tables, target, grants, nowMs);
  if (hasExpiredHolder) settleExpiredHolders(tables, target, grants, nowMs);
  const known = grants.get(holder);
  const others = grantedToOthers(grants, holder);
  const planned = plannedShare(tables, target, grants, capacity, holder, nowMs);
  const limit =
    nowMs < tables.graceEndMs
      ? renewableCapacity(target, capacity, known)
      : {
          slots: capacity.slots - others.slots,
          kvTokens: capacity.kvTokens - others.kvTokens,
        };
  const slots = Math.max(0, Math.min(planned.slots, limit.slots));
  const kvTokens = Math.max(0, Math.min(planned.kvTokens, limit.kvTokens));
  if (slots === 0 && known === undefined) return undefined;
  grants.set(holder, {
    slots: Math.max(slots, known?.slots ?? 0),
    kvTokens: Math.max(kvTokens, known?.kvTokens ?? 0),
    inUse: known?.inUse ?? 0,
    kvInUse: known?.kvInUse ?? 0,
    finished: known?.finished ?? 0,
    ...trackMinUsage(known, known?.inUse ?? 0, nowMs),
  });
  return {target: target.target, slots, kvTokens};
}

/**
 * Renews, during the grace period, the allocations on targets that have not
 * announced themselves to this leader yet.
 */
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

/**
 * Handles one heartbeat of an entry and returns the response. Returns undefined
 * when this or a later heartbeat of the same holder was already handled.
 */
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
  const hasExpiredHolder = hasExpiredHolders(tables, nowMs);
  for (const target of tables.targets.values()) {
    trackServiceState(target, state, nowMs);
    const capacity = capacityOf(target, state);
    const {holder} = report;
    const allocation = allocate(
      tables,
      target,
      capacity,
      holder,
      hasExpiredHolder,
      nowMs,
    );
    if (allocation) allotments.push(allocation);
  }
  return {
    sequence: report.sequence,
    allotments,
    targetsVersion: tables.targetsVersion,
    targets: [...tables.targets.values()]
      .filter(row => row.version > report.knownTargetsVersion)
      .map(toTargetView),
    quarantineVersion: tables.quarantine.version,
    suspects: changedSuspects(tables, report),
    suspectTurns: nextSuspectPermits(tables, report.holder, nowMs),
  };
}

function suspectViewsOf(quarantine: QuarantineTable): SuspectView[] {
  const {suspects, quarantined} = viewOf(quarantine);
  const refused = quarantined.map(({fingerprint}) => fingerprint);
  return [...new Set([...suspects, ...refused])].map(fingerprint => ({
    fingerprint,
    isQuarantined: quarantine.quarantined.has(fingerprint),
  }));
}

/** Returns the suspects, or undefined when the entry has this version. */
function changedSuspects(
  tables: LeaderTables,
  report: EntryReport,
): ReportResponse['suspects'] {
  const {quarantine} = tables;
  if (quarantine.version === report.knownQuarantineVersion) return undefined;
  return suspectViewsOf(quarantine);
}

/**
 * Marks targets without recent announcements as expired, and removes targets,
 * entries and suspects whose retention has passed. Returns the removed entries.
 */
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
  return removeExpiredEntries(tables, timing, nowMs);
}

/**
 * Removes and returns the entries whose lease expired at least `targetExpiryMs`
 * ago. An entry whose work is still charged to a target is kept.
 */
function removeExpiredEntries(
  tables: LeaderTables,
  timing: AllocationTiming,
  nowMs: number,
): EntryRow[] {
  const removed: EntryRow[] = [];
  for (const row of tables.entries.values()) {
    if (nowMs < row.leaseEndMs + timing.targetExpiryMs) continue;
    const isStillCharged = [...tables.grants.values()].some(
      grants => (grants.get(row.holder)?.inUse ?? 0) > 0,
    );
    if (isStillCharged) continue;
    for (const grants of tables.grants.values()) grants.delete(row.holder);
    tables.entries.delete(row.holder);
    removed.push(row);
  }
  return removed;
}

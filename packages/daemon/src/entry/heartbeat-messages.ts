/** Builds heartbeats; applies the leader's responses to an entry's tables. */
import {applyDeltas, hashConfig, type ConfigView} from '@samphirefield/control';
import {parseRules} from '@samphirefield/core';
import {
  forgetTarget,
  type Demand,
  type ReportResponse,
  type EntryReport,
  type TargetView,
} from '@samphirefield/policy';
import type {Heartbeat} from '../rpc/index.js';
import type {ConfigUpdate, HeartbeatResponse} from '../voter/index.js';
import type {EntryTables, EntryTarget} from './tables.js';
import {clearCandidateLists, syncAllCandidates} from './candidates.js';
import {usageOf} from './usage.js';

function runningSuspects(tables: EntryTables): EntryReport['runningSuspects'] {
  return [...tables.activeRuns.values()]
    .filter(run => run.isSuspect)
    .map(run => run.fingerprint);
}

export function buildHeartbeat(
  tables: EntryTables,
  sequence: number,
  demand: readonly Demand[],
  nowMs: number,
): Heartbeat {
  const held = [...tables.targets.values()].flatMap(row => {
    const {inUse, kvInUse} = usageOf(tables, row.view.target);
    const isEmpty = row.allocatedSlots === 0 && inUse === 0;
    if (isEmpty) return [];
    const {target, incarnation} = row.view;
    const {
      allocatedSlots: slots,
      allocatedKvTokens: kvTokens,
      finishedRuns: finished,
    } = row;
    return [{target, incarnation, slots, kvTokens, inUse, kvInUse, finished}];
  });
  const announcements = [...tables.latestAnnouncements.values()]
    .filter(row => !row.isReported)
    .map(row => ({
      announcement: row.announcement,
      heardAgoMs: nowMs - row.receivedAtMs,
    }));
  return {
    revision: tables.config.revision,
    configHash: tables.configHash,
    knownTerm: tables.leaderTerm,
    report: {
      holder: tables.holder,
      instance: tables.instance,
      zone: tables.zone,
      sequence,
      held,
      demand: [...demand],
      announcements,
      deaths: tables.unreportedCrashes.map(crash => ({
        ...crash,
        fingerprints: [...crash.fingerprints],
        prompts: crash.prompts.map(parts => [...parts]),
      })),
      clearedSuspects: tables.unreportedClearedSuspects,
      inheritedQuarantine: tables.inheritedQuarantine,
      waitingSuspects: [...tables.waitingSuspects],
      runningSuspects: [...runningSuspects(tables)],
      knownTargetsVersion: tables.knownTargetsVersion,
      knownQuarantineVersion: tables.knownQuarantineVersion,
    },
  };
}

function installConfig(tables: EntryTables, view: ConfigView): void {
  if (view.revision < tables.config.revision) return;
  const rules = parseRules(view.rulesText);
  tables.config = view;
  tables.configHash = hashConfig(view);
  if (rules.isOk()) tables.rules = rules.value;
}

/** Returns false when the deltas do not apply to the current configuration. */
function applyConfigUpdate(tables: EntryTables, update: ConfigUpdate): boolean {
  switch (update.kind) {
    case 'none':
      return true;
    case 'whole':
      installConfig(tables, update.view);
      return true;
    case 'deltas': {
      const view = applyDeltas(tables.config, update.deltas);
      if (view) installConfig(tables, view);
      return view !== undefined;
    }
  }
}

function createEntryTarget(view: TargetView, startNumber: number): EntryTarget {
  return {
    view,
    startNumber,
    allocatedSlots: 0,
    allocatedKvTokens: 0,
    finishedRuns: 0,
    sentSinceView: 0,
    candidate: {
      target: view.target,
      zone: view.zone,
      isOutOfService: false,
      isDraining: false,
      avoidUntilMs: 0,
      freeSlots: 0,
      freeKvTokens: 0,
      load: 0,
      runsSuspect: false,
    },
  };
}

function applyTargetView(tables: EntryTables, view: TargetView): void {
  const known = tables.targets.get(view.target);
  const hasChangedZone =
    known !== undefined && known.candidate.zone !== view.zone;
  if (known === undefined || hasChangedZone) {
    const startNumber = (known?.startNumber ?? 0) + 1;
    tables.targets.set(view.target, createEntryTarget(view, startNumber));
    return;
  }
  if (known.view.incarnation !== view.incarnation) {
    known.startNumber += 1;
    known.finishedRuns = 0;
    known.candidate.avoidUntilMs = 0;
    forgetTarget(tables.prefixCache, view.target);
  }
  known.view = view;
  known.sentSinceView = 0;
}

/** Returns whether the leader reduced an allocation. */
function applyAllocations(
  tables: EntryTables,
  orders: ReportResponse,
): boolean {
  const allocations = new Map(
    orders.allotments.map(item => [item.target, item]),
  );
  let hasShrunk = false;
  for (const [target, row] of tables.targets) {
    const allocation = allocations.get(target);
    const slots = allocation?.slots ?? 0;
    const kvTokens = allocation?.kvTokens ?? 0;
    hasShrunk ||=
      slots < row.allocatedSlots || kvTokens < row.allocatedKvTokens;
    row.allocatedSlots = slots;
    row.allocatedKvTokens = kvTokens;
  }
  return hasShrunk;
}

/** Keeps what a new leader does not know yet in quarantine. */
function applySuspects(
  tables: EntryTables,
  suspects: NonNullable<ReportResponse['suspects']>,
): void {
  const inherited = tables.inheritedQuarantine.map(fingerprint => ({
    fingerprint,
    isQuarantined: true,
  }));
  tables.sharedSuspects = new Map(
    [...suspects, ...inherited].map(row => [row.fingerprint, row]),
  );
}

export interface AppliedResponse {
  /** Whether the leader awaits a confirmation or lacks this entry's state. */
  readonly needsEarlyHeartbeat: boolean;
}

type OkResponse = Extract<HeartbeatResponse, {kind: 'ok'}>;

/**
 * Applies the response to the heartbeat `sent`. The view lease counts from
 * `sentAtMs`, when the heartbeat left.
 */
export function applyResponse(
  tables: EntryTables,
  sent: Heartbeat,
  response: OkResponse,
  sentAtMs: number,
  leaseMs: number,
): AppliedResponse {
  const isNewLeader = response.term !== tables.leaderTerm;
  markReported(tables, sent, isNewLeader);
  tables.leaderTerm = response.term;
  const isConfigCurrent = applyConfigUpdate(tables, response.news);
  const {orders} = response;
  for (const view of orders.targets) applyTargetView(tables, view);
  if (orders.targets.length > 0) clearCandidateLists(tables);
  tables.knownTargetsVersion = orders.targetsVersion;
  const hasShrunk = applyAllocations(tables, orders);
  if (orders.suspects) applySuspects(tables, orders.suspects);
  tables.knownQuarantineVersion = orders.quarantineVersion;
  syncAllCandidates(tables);
  tables.permittedSuspects = new Set(orders.suspectTurns);
  if (isConfigCurrent) tables.viewLeaseEndMs = sentAtMs + leaseMs;
  const hasConfigUpdate = response.news.kind !== 'none';
  return {needsEarlyHeartbeat: hasShrunk || isNewLeader || hasConfigUpdate};
}

function markReported(
  tables: EntryTables,
  sent: Heartbeat,
  isNewLeader: boolean,
): void {
  const {report} = sent;
  const reported = new Map(
    report.announcements.map(item => [
      item.announcement.target,
      item.announcement,
    ]),
  );
  for (const [target, row] of tables.latestAnnouncements) {
    const isSame = reported.get(target) === row.announcement;
    if (isSame) row.isReported = true;
    // A new leader lacks the announcements that were sent to its predecessor.
    else if (isNewLeader) row.isReported = false;
  }
  tables.unreportedCrashes = tables.unreportedCrashes.slice(
    report.deaths.length,
  );
  // A new leader does not know what its predecessor had quarantined.
  tables.inheritedQuarantine = isNewLeader
    ? [...tables.sharedSuspects.values()]
        .filter(row => row.isQuarantined)
        .map(row => row.fingerprint)
    : [];
  tables.unreportedClearedSuspects = tables.unreportedClearedSuspects.slice(
    report.clearedSuspects.length,
  );
}

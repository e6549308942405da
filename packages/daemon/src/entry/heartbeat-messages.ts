/** Builds an entry's heartbeat, and takes in the leader's answer. */
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
      deaths: tables.unreportedCrashes.map(death => ({
        ...death,
        fingerprints: [...death.fingerprints],
      })),
      clearedSuspects: tables.unreportedClearedSuspects,
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

/** Returns false when the deltas do not follow what is here. */
function applyConfigUpdate(tables: EntryTables, news: ConfigUpdate): boolean {
  switch (news.kind) {
    case 'none':
      return true;
    case 'whole':
      installConfig(tables, news.view);
      return true;
    case 'deltas': {
      const view = applyDeltas(tables.config, news.deltas);
      if (view) installConfig(tables, view);
      return view !== undefined;
    }
  }
}

function newTarget(view: TargetView): EntryTarget {
  return {
    view,
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
  const isMoved = known !== undefined && known.candidate.zone !== view.zone;
  if (known === undefined || isMoved) {
    tables.targets.set(view.target, newTarget(view));
    return;
  }
  if (known.view.incarnation !== view.incarnation) {
    known.finishedRuns = 0;
    known.candidate.avoidUntilMs = 0;
    forgetTarget(tables.prefixCache, view.target);
  }
  known.view = view;
  known.sentSinceView = 0;
}

function applyAllocations(
  tables: EntryTables,
  orders: ReportResponse,
): boolean {
  const given = new Map(orders.allotments.map(item => [item.target, item]));
  let hasShrunk = false;
  for (const [target, row] of tables.targets) {
    const next = given.get(target);
    const slots = next?.slots ?? 0;
    const kvTokens = next?.kvTokens ?? 0;
    hasShrunk ||=
      slots < row.allocatedSlots || kvTokens < row.allocatedKvTokens;
    row.allocatedSlots = slots;
    row.allocatedKvTokens = kvTokens;
  }
  return hasShrunk;
}

export interface AppliedResponse {
  /** Whether the leader waits for a confirmation or for news from here. */
  readonly needsEarlyHeartbeat: boolean;
}

type OkResponse = Extract<HeartbeatResponse, {kind: 'ok'}>;

/** Takes in the answer to the heartbeat that was sent at `sentAtMs`. */
export function applyResponse(
  tables: EntryTables,
  sent: Heartbeat,
  answer: OkResponse,
  sentAtMs: number,
  leaseMs: number,
): AppliedResponse {
  const isNewLeader = answer.term !== tables.leaderTerm;
  markReported(tables, sent, isNewLeader);
  tables.leaderTerm = answer.term;
  const isConfigCurrent = applyConfigUpdate(tables, answer.news);
  const {orders} = answer;
  for (const view of orders.targets) applyTargetView(tables, view);
  if (orders.targets.length > 0) clearCandidateLists(tables);
  tables.knownTargetsVersion = orders.targetsVersion;
  const hasShrunk = applyAllocations(tables, orders);
  if (orders.suspects) {
    tables.sharedSuspects = new Map(
      orders.suspects.map(row => [row.fingerprint, row]),
    );
  }
  tables.knownQuarantineVersion = orders.quarantineVersion;
  syncAllCandidates(tables);
  tables.permittedSuspects = new Set(orders.suspectTurns);
  if (isConfigCurrent) tables.viewLeaseEndMs = sentAtMs + leaseMs;
  const isNews = answer.news.kind !== 'none';
  return {needsEarlyHeartbeat: hasShrunk || isNewLeader || isNews};
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
    // A new leader knows only what is told to it anew.
    else if (isNewLeader) row.isReported = false;
  }
  tables.unreportedCrashes = tables.unreportedCrashes.slice(
    report.deaths.length,
  );
  tables.unreportedClearedSuspects = tables.unreportedClearedSuspects.slice(
    report.clearedSuspects.length,
  );
}

/**
 * The leader's division of one target's capacity among the entries: what each
 * holder is to have, and what the others hold meanwhile.
 */
import type {ServiceId} from '@samphirefield/core';
import {rendezvousScore} from '../routing/index.js';
import type {Capacity} from './capacity.js';
import {planShares, type Claimant} from './plan-shares.js';
import type {
  GrantsOfTarget,
  HolderId,
  LeaderTables,
  TargetPlan,
  TargetRow,
} from './types.js';
import {hasValidLease} from './unaccounted-load.js';

/**
 * With more than this many entries, a plan is reused for `PLAN_REUSE_MS`. Making
 * one takes time linear in the entries and would be repeated at every heartbeat
 * of every entry. A reused plan is safe: a grant is always bounded by what the
 * other holders hold now.
 */
const MANY_ENTRIES = 16;
const PLAN_REUSE_MS = 100;

/** Returns the holders with a valid lease, the highest rank first. */
function liveClaimants(
  tables: LeaderTables,
  target: TargetRow,
  nowMs: number,
): Claimant[] {
  const claimants: Claimant[] = [];
  const grants = tables.grants.get(target.target);
  const service = target.announcement.service as ServiceId;
  for (const row of tables.entries.values()) {
    if (!hasValidLease(row, nowMs)) continue;
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

interface Usage {
  slots: number;
  kvTokens: number;
}

function addUsage(usage: Usage, slots: number, kvTokens: number): void {
  usage.slots += slots;
  usage.kvTokens += kvTokens;
}

/** Sums the usage that holders with an expired lease may still have. */
function expiredHolderUsage(
  tables: LeaderTables,
  grants: GrantsOfTarget,
  nowMs: number,
): Usage {
  const usage: Usage = {slots: 0, kvTokens: 0};
  for (const [holder, grant] of grants) {
    if (hasValidLease(tables.entries.get(holder), nowMs)) continue;
    addUsage(usage, grant.inUse, grant.kvInUse);
  }
  return usage;
}

/** Sums, for all other holders, the larger of their grant and their usage. */
export function grantedToOthers(
  grants: GrantsOfTarget,
  holder: HolderId,
): Usage {
  const usage: Usage = {slots: 0, kvTokens: 0};
  for (const [other, grant] of grants) {
    if (other === holder) continue;
    const slots = Math.max(grant.slots, grant.inUse);
    addUsage(usage, slots, Math.max(grant.kvTokens, grant.kvInUse));
  }
  return usage;
}

/** Whether a plan is recent enough and was made for the same capacity. */
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

/** Divides the capacity that expired holders don't use among the live ones. */
function planTarget(
  tables: LeaderTables,
  target: TargetRow,
  grants: GrantsOfTarget,
  capacity: Capacity,
  nowMs: number,
): TargetPlan {
  const claimants = liveClaimants(tables, target, nowMs);
  const expiredUsage = expiredHolderUsage(tables, grants, nowMs);
  const assigned = planShares(claimants, {
    slots: capacity.slots - expiredUsage.slots,
    kvTokens: capacity.kvTokens - expiredUsage.kvTokens,
  });
  const shares = new Map(
    claimants.map(({holder}, position) => [holder, assigned[position]!]),
  );
  return {plannedAtMs: nowMs, capacity, shares};
}

/**
 * Returns the share of one holder in the target's plan. The caller bounds it by
 * what the other holders still hold.
 */
export function plannedShare(
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

/** Builds the deployment's status for operators from the leader's tables. */
import type {
  ClusterStatus,
  ControlStateMachine,
  EntryStatus,
  TargetStatus,
} from '@samphirefield/control';
import {parseRules, type TargetId, type ZoneId} from '@samphirefield/core';
import {capacityOf} from '@samphirefield/policy';
import type {Leadership} from './leadership.js';

export function seenZones(
  leadership: Leadership,
  stateMachine: ControlStateMachine,
): ZoneId[] {
  const rules = parseRules(stateMachine.tables.config.rulesText);
  const zones = new Set<ZoneId>(rules.isOk() ? rules.value.zones.keys() : []);
  for (const row of leadership.tables.targets.values()) {
    zones.add(row.announcement.zone as ZoneId);
  }
  for (const row of leadership.daemons.values()) zones.add(row.zone as ZoneId);
  return [...zones].sort();
}

export function seenTargets(leadership: Leadership): TargetId[] {
  return [...leadership.tables.targets.keys()].sort();
}

function entryStatuses(leadership: Leadership, nowMs: number): EntryStatus[] {
  return [...leadership.daemons.values()].map(row => ({
    instance: row.instance,
    zone: row.zone,
    revision: row.revision,
    heardMsAgo: nowMs - row.lastSeenAtMs,
    hasLease:
      nowMs < (leadership.tables.entries.get(row.holder)?.leaseEndMs ?? 0),
  }));
}

function targetStatuses(leadership: Leadership): TargetStatus[] {
  const state = leadership.serviceState();
  return [...leadership.tables.targets.values()].map(row => {
    const grants = [
      ...(leadership.tables.grants.get(row.target)?.values() ?? []),
    ];
    return {
      target: row.target,
      service: row.announcement.service,
      zone: row.announcement.zone,
      isWarm: row.announcement.is_warm,
      isLapsed: row.isExpired,
      isLeaving: row.announcement.leaving_in_ms !== undefined,
      bearsSlots: capacityOf(row, state).slots,
      grantedSlots: grants.reduce((sum, grant) => sum + grant.slots, 0),
      running: row.announcement.load.running,
    };
  });
}

export function buildStatus(
  leader: string,
  leadership: Leadership,
  stateMachine: ControlStateMachine,
  nowMs: number,
): ClusterStatus {
  const {config, configHash, ledger} = stateMachine.tables;
  const entries = entryStatuses(leadership, nowMs);
  const isPastGrace = nowMs >= leadership.tables.graceEndMs;
  return {
    leader,
    term: leadership.term,
    revision: config.revision,
    configHash,
    // Right after a change of leader, entries that haven't sent it a heartbeat
    // yet may hold view leases from its predecessor.
    isInForce:
      isPastGrace &&
      entries.every(
        entry => !entry.hasLease || entry.revision >= config.revision,
      ),
    outZones: config.outZones,
    outTargets: config.outTargets,
    entries,
    targets: targetStatuses(leadership),
    members: leadership
      .memberViews(nowMs)
      .map(({replica, instance, role, silentMs, lagEntries}) => ({
        replica,
        instance,
        role,
        silentMs,
        lagEntries,
      })),
    ledgerRecords: ledger.records.size,
    quarantined: [...leadership.tables.quarantine.quarantined.keys()],
  };
}

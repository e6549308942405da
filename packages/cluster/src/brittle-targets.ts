/**
 * What a daemon knows of targets that end when they have to reject much, kept
 * alike by the leader and by each entry.
 */
import type {ServiceId, TargetId} from '@samphirefield/core';
import type {RunOutcome, TargetAnnouncement} from '@samphirefield/gateway';
import type {TargetStart} from '@samphirefield/policy/quarantine';
import {
  clearBrittleness,
  createBrittleness,
  forgetBrittle,
  maxRejectionsOf,
  recordBrittleness,
  recordBrokenOff,
  recordRejection,
  roomAt,
  type TargetStatement,
} from '@samphirefield/policy/statements';

function startOf({id, bornMs}: TargetAnnouncement): TargetStart {
  return {target: id, bornMs};
}

export class BrittleTargets {
  private readonly tables = createBrittleness();

  /** Returns whether the service becomes brittle, or is no longer. */
  record(
    service: ServiceId,
    {maxRejectionsPerS}: TargetStatement,
    statedAtMs: number,
  ): boolean {
    return recordBrittleness(
      this.tables,
      service,
      maxRejectionsPerS,
      statedAtMs,
    );
  }

  isBrittle(service: ServiceId): boolean {
    return maxRejectionsOf(this.tables, service) !== undefined;
  }

  /** Most runs of all entries at the target; undefined: it is not brittle. */
  roomAt(
    target: TargetAnnouncement,
    {maxRejectionsPerS: statedPerS}: TargetStatement,
    nowMs: number,
  ): number | undefined {
    const {service, slots} = target;
    const place = {service, start: startOf(target), slots, statedPerS};
    return roomAt(this.tables, place, nowMs);
  }

  recordEnd(
    target: TargetAnnouncement,
    outcome: RunOutcome,
    runsLeft: number,
    nowMs: number,
  ): void {
    if (!this.isBrittle(target.service)) return;
    const start = startOf(target);
    if (outcome === 'rejected')
      recordRejection(this.tables, start, runsLeft, nowMs);
    if (outcome === 'failed' || outcome === 'abandoned')
      recordBrokenOff(this.tables, start, nowMs);
  }

  forget(target: TargetId): void {
    forgetBrittle(this.tables, target);
  }

  clear(): void {
    clearBrittleness(this.tables);
    this.tables.targets.clear();
  }
}

/**
 * An entry's part of the services whose targets end when they have to reject
 * much: hears and learns which they are, and how much of their room is its own
 * while it grants reservations itself.
 */
import type {ServiceId, TargetId} from '@samphirefield/core';
import type {RunOutcome, TargetAnnouncement} from '@samphirefield/gateway';
import type {TargetStart} from '@samphirefield/policy/quarantine';
import {
  partOfRoom,
  turnOf,
  type StatementReport,
  type TargetStatement,
} from '@samphirefield/policy/statements';
import {BrittleTargets} from '../brittle-targets.js';

/** Interval of reports that a service is still brittle, or no longer. */
const REPORT_EVERY_MS = 1_000;
/**
 * The end is reported for this long: a leader whose row another entry has just
 * renewed does not take the first report.
 */
const REPORT_END_MS = 10_000;

export interface EntryBrittlenessOptions {
  readonly nowMs: () => number;
  readonly random: () => number;
  /** Number of entries that share the room while there is no leader. */
  readonly entryCount: () => number;
  /** The present start of a target; undefined if it is not known. */
  readonly startOf: (target: TargetId) => TargetStart | undefined;
  readonly serviceOf: (target: TargetId) => ServiceId | undefined;
  /** Called when the service is known to be brittle, or no longer. */
  readonly onBrittleness: (service: ServiceId) => void;
}

/** Decides on the part of a target's room below one run. */
interface Lot {
  readonly turn: number;
  readonly draw: number;
}

export class EntryBrittleness {
  private readonly targets = new BrittleTargets();
  private readonly reportedAtMs = new Map<ServiceId, number>();
  /** From when on the ends are reported. */
  private readonly endedAtMs = new Map<ServiceId, number>();
  private readonly lots = new Map<TargetId, Lot>();

  constructor(private readonly options: EntryBrittlenessOptions) {}

  /** Returns whether the leader has to know of the statement. */
  hear(
    {target, bornMs}: TargetStart,
    statement: TargetStatement,
    sentAtMs: number,
  ): boolean {
    const {startOf, serviceOf} = this.options;
    const service = serviceOf(target);
    const isPresent = startOf(target)?.bornMs === bornMs;
    if (service === undefined || !isPresent) return false;
    const nowMs = this.options.nowMs();
    const isBrittle = statement.maxRejectionsPerS !== undefined;
    const statedAtMs = isBrittle ? nowMs : sentAtMs;
    const isNew = this.record(service, statement, statedAtMs);
    const reportedAtMs = this.reportedAtMs.get(service) ?? 0;
    const isTold = isBrittle || this.hasJustEnded(service, nowMs);
    const isDue = isTold && nowMs - reportedAtMs >= REPORT_EVERY_MS;
    if (!isNew && !isDue) return false;
    this.reportedAtMs.set(service, nowMs);
    return true;
  }

  /** The leader is another, or may have missed reports. */
  onLeader(): void {
    const nowMs = this.options.nowMs();
    for (const service of this.endedAtMs.keys())
      this.endedAtMs.set(service, nowMs);
  }

  private hasJustEnded(service: ServiceId, nowMs: number): boolean {
    const endedAtMs = this.endedAtMs.get(service);
    return endedAtMs !== undefined && nowMs - endedAtMs < REPORT_END_MS;
  }

  learn({start, statement, ageMs}: StatementReport): void {
    const {serviceOf, nowMs} = this.options;
    const service = serviceOf(start.target);
    if (service !== undefined) this.record(service, statement, nowMs() - ageMs);
  }

  private record(
    service: ServiceId,
    statement: TargetStatement,
    statedAtMs: number,
  ): boolean {
    const isNew = this.targets.record(service, statement, statedAtMs);
    if (!isNew) return false;
    if (this.isBrittle(service)) this.endedAtMs.delete(service);
    else this.endedAtMs.set(service, this.options.nowMs());
    this.options.onBrittleness(service);
    return true;
  }

  isBrittle(service: ServiceId): boolean {
    return this.targets.isBrittle(service);
  }

  maxRuns(
    target: TargetAnnouncement,
    statement: TargetStatement,
    nowMs: number,
  ): number | undefined {
    const room = this.targets.roomAt(target, statement, nowMs);
    if (room === undefined) return undefined;
    const {draw} = this.lotFor(target.id, nowMs);
    return partOfRoom(room, this.options.entryCount(), draw);
  }

  recordEnd(
    target: TargetAnnouncement,
    outcome: RunOutcome,
    runsLeft: number,
    nowMs: number,
  ): void {
    this.targets.recordEnd(target, outcome, runsLeft, nowMs);
  }

  forget(target: TargetId): void {
    this.targets.forget(target);
    this.lots.delete(target);
  }

  private lotFor(target: TargetId, nowMs: number): Lot {
    const turn = turnOf(nowMs);
    const known = this.lots.get(target);
    if (known?.turn === turn) return known;
    const lot = {turn, draw: this.options.random()};
    this.lots.set(target, lot);
    return lot;
  }
}

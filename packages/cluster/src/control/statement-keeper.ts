/**
 * The leader's part of the statements of targets: gathers what entries received,
 * sends it to all entries, and counts the sendings to targets with a limit.
 */
import type {
  InstanceId,
  Logger,
  ServiceId,
  TargetId,
} from '@samphirefield/core';
import type {
  RunOutcome,
  TargetAnnouncement,
  TargetLimiter,
} from '@samphirefield/gateway';
import type {TargetStart} from '@samphirefield/policy/quarantine';
import {
  createSendRates,
  createStatements,
  isNewest,
  learnStatement,
  msUntilSend,
  NOTHING_STATED,
  recordSend,
  statementOf,
  statementReports,
  type StatementReport,
  type TargetStatement,
} from '@samphirefield/policy/statements';
import {BrittleTargets} from '../brittle-targets.js';
import type {SendAnswer, SendRequest} from './messages.js';

/** An entry that asked within this time shares the limit. */
const SHARER_MS = 2_000;

export interface StatementKeeperOptions {
  readonly logger: Logger;
  readonly nowMs: () => number;
  /** The present start of a target; undefined if it is not known. */
  readonly startOf: (target: TargetId) => TargetStart | undefined;
  readonly serviceOf: (target: TargetId) => ServiceId | undefined;
  /** Sends statements to all entries. */
  readonly spread: (reports: readonly StatementReport[]) => void;
}

export class StatementKeeper implements TargetLimiter {
  private readonly table = createStatements();
  private readonly rates = createSendRates();
  private readonly brittle = new BrittleTargets();
  /** When each entry last asked for a sending to a target. */
  private readonly askedAtMs = new Map<TargetId, Map<InstanceId, number>>();

  constructor(private readonly options: StatementKeeperOptions) {}

  /** Entries report their statements to a new leader. */
  startTerm(): void {
    this.table.clear();
    this.brittle.clear();
  }

  learn(report: StatementReport): void {
    const nowMs = this.options.nowMs();
    const {start, statement, ageMs} = report;
    const service = this.options.serviceOf(start.target);
    const isNew = learnStatement(this.table, report, nowMs);
    const isNewForService =
      service !== undefined &&
      isNewest(this.table, report) &&
      this.brittle.record(service, statement, nowMs - ageMs);
    if (!isNew && !isNewForService) return;
    this.options.logger.info('target_statement', {
      target: start.target,
      born_ms: start.bornMs,
      limit_per_s: statement.limitPerS,
      leaving: statement.isLeaving,
      max_rejections_per_s: statement.maxRejectionsPerS,
    });
    this.options.spread([report]);
  }

  reports(): StatementReport[] {
    return statementReports(this.table, this.options.nowMs());
  }

  expectedPerS(target: TargetId): number | undefined {
    return this.statementOf(target).limitPerS;
  }

  isLeaving(target: TargetId): boolean {
    return this.statementOf(target).isLeaving;
  }

  private statementOf(target: TargetId): TargetStatement {
    const start = this.options.startOf(target);
    return start ? statementOf(this.table, start) : NOTHING_STATED;
  }

  maxRuns(target: TargetAnnouncement, nowMs: number): number | undefined {
    return this.brittle.roomAt(target, this.statementOf(target.id), nowMs);
  }

  recordEnd(
    target: TargetAnnouncement,
    outcome: RunOutcome,
    runsLeft: number,
    nowMs: number,
  ): void {
    this.brittle.recordEnd(target, outcome, runsLeft, nowMs);
  }

  maySend(target: TargetId, nowMs: number): boolean {
    if (this.expectedPerS(target) === undefined) return true;
    return msUntilSend(this.rates, target, nowMs) === 0;
  }

  recordSend(target: TargetId, nowMs: number): void {
    const perS = this.expectedPerS(target);
    if (perS === undefined) this.rates.delete(target);
    else recordSend(this.rates, target, perS, nowMs);
  }

  want(): void {
    return;
  }

  /** Decides on one sending of an entry that chooses its targets itself. */
  takeSend({target, entry}: SendRequest): SendAnswer {
    const nowMs = this.options.nowMs();
    const sharers = this.countSharers(target, entry, nowMs);
    const retryAfterMs = msUntilSend(this.rates, target, nowMs);
    const isGranted = this.maySend(target, nowMs);
    if (isGranted) this.recordSend(target, nowMs);
    return {isGranted, sharers, retryAfterMs: isGranted ? 0 : retryAfterMs};
  }

  private countSharers(
    target: TargetId,
    entry: InstanceId,
    nowMs: number,
  ): number {
    const askedAtMs = this.askedAtMs.get(target) ?? new Map();
    this.askedAtMs.set(target, askedAtMs.set(entry, nowMs));
    for (const [other, atMs] of askedAtMs) {
      if (nowMs - atMs > SHARER_MS) askedAtMs.delete(other);
    }
    return askedAtMs.size;
  }

  forget(target: TargetId): void {
    this.askedAtMs.delete(target);
    this.table.delete(target);
    this.rates.delete(target);
    this.brittle.forget(target);
  }
}

/**
 * The leader's part of the statements of targets: gathers what entries received,
 * sends it to all entries, and counts the sendings to targets with a limit.
 */
import type {Logger, TargetId} from '@samphirefield/core';
import type {TargetLimiter} from '@samphirefield/gateway';
import type {TargetStart} from '@samphirefield/policy/quarantine';
import {
  createSendRates,
  createStatements,
  learnStatement,
  msUntilSend,
  NOTHING_STATED,
  recordSend,
  statementOf,
  statementReports,
  type StatementReport,
  type TargetStatement,
} from '@samphirefield/policy/statements';
import type {SendAnswer} from './messages.js';

export interface StatementKeeperOptions {
  readonly logger: Logger;
  readonly nowMs: () => number;
  /** The present start of a target; undefined if it is not known. */
  readonly startOf: (target: TargetId) => TargetStart | undefined;
  /** Sends statements to all entries. */
  readonly spread: (reports: readonly StatementReport[]) => void;
}

export class StatementKeeper implements TargetLimiter {
  private readonly table = createStatements();
  private readonly rates = createSendRates();

  constructor(private readonly options: StatementKeeperOptions) {}

  /** Entries report their statements to a new leader. */
  startTerm(): void {
    this.table.clear();
  }

  learn(report: StatementReport): void {
    const nowMs = this.options.nowMs();
    if (!learnStatement(this.table, report, nowMs)) return;
    const {start, statement} = report;
    this.options.logger.info('target_statement', {
      target: start.target,
      born_ms: start.bornMs,
      limit_per_s: statement.limitPerS,
      leaving: statement.isLeaving,
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
  takeSend(target: TargetId): SendAnswer {
    const nowMs = this.options.nowMs();
    const retryAfterMs = msUntilSend(this.rates, target, nowMs);
    if (!this.maySend(target, nowMs)) return {isGranted: false, retryAfterMs};
    this.recordSend(target, nowMs);
    return {isGranted: true, retryAfterMs: 0};
  }

  forget(target: TargetId): void {
    this.table.delete(target);
    this.rates.delete(target);
  }
}

/**
 * An entry's part of the statements of targets: obeys what it receives itself at
 * once and reports it to the leader, and learns from the leader what others
 * received. A pause binds only the entry that received it. The leader grants
 * each sending to a target with a limit; without one the entry sends its share.
 */
import type {
  InstanceId,
  Logger,
  ServiceId,
  TargetId,
} from '@samphirefield/core';
import type {
  RunOutcome,
  StatementListener,
  TargetAnnouncement,
  TargetLimiter,
} from '@samphirefield/gateway';
import type {TargetStart} from '@samphirefield/policy/quarantine';
import {
  beginPause,
  createPauses,
  createSendRates,
  createStatements,
  endPauses,
  hearStatement,
  isNewest,
  learnStatement,
  msUntilSend,
  NOTHING_STATED,
  pauseLeftMs,
  readStatement,
  recordSend,
  startLimiting,
  statementOf,
  statementReports,
  type HeadValues,
  type StatementReport,
  type TargetStatement,
} from '@samphirefield/policy/statements';
import type {SendAnswer, SendRequest} from '../control/index.js';
import type {Peer} from '../link/index.js';
import {EntryBrittleness} from './entry-brittleness.js';

const TAKE_SEND_TIMEOUT_MS = 500;
/** A granted sending that nobody uses for this long is void. */
const GRANT_VALID_MS = 300;
const ASK_AGAIN_MIN_MS = 20;
const MS_PER_S = 1_000;
const MAX_LOGGED_STARTS = 256;

export interface EntryStatementsOptions {
  readonly instance: InstanceId;
  readonly logger: Logger;
  readonly nowMs: () => number;
  readonly random: () => number;
  readonly leader: () => Peer | undefined;
  /** Number of entries that share a limit while there is no leader. */
  readonly entryCount: () => number;
  /** The present start of a target; undefined if it is not known. */
  readonly startOf: (target: TargetId) => TargetStart | undefined;
  readonly serviceOf: (target: TargetId) => ServiceId | undefined;
  /** Called when the service is known to be brittle, or no longer. */
  readonly onBrittleness: (service: ServiceId) => void;
  /** Called when more may be sent than before. */
  readonly onGrant: () => void;
  /** Called when a target said that it leaves. */
  readonly onLeaving: (target: TargetId) => void;
}

interface LimitedTarget {
  /** When the granted sendings become void. */
  grantsUntilMs: number[];
  isAsking: boolean;
  askAgainAtMs: number;
  /** Entries that share the limit; undefined until the leader has told. */
  sharers: number | undefined;
}

export class EntryStatements implements StatementListener, TargetLimiter {
  private readonly table = createStatements();
  private readonly rates = createSendRates();
  private readonly pauses = createPauses();
  private readonly limited = new Map<TargetId, LimitedTarget>();
  private readonly loggedInvalid = new Set<string>();
  private readonly brittleness: EntryBrittleness;

  constructor(private readonly options: EntryStatementsOptions) {
    this.brittleness = new EntryBrittleness(options);
  }

  hear(start: TargetStart, stated: HeadValues, sentAtMs: number): void {
    const read = readStatement(stated);
    if (read === undefined) {
      this.logInvalid(start, stated);
      return;
    }
    const nowMs = this.options.nowMs();
    const {statement, pauseMs} = read;
    if (pauseMs !== undefined) this.pause(start, pauseMs);
    const isDue = this.brittleness.hear(start, statement, sentAtMs);
    const isNew = hearStatement(this.table, start, statement, sentAtMs, nowMs);
    if (isNew) this.onHeard(start, statement);
    if (!isNew && !isDue) return;
    const report: StatementReport = {start, statement, ageMs: 0};
    this.options.leader()?.notify('statements', {reports: [report]});
  }

  private onHeard(start: TargetStart, statement: TargetStatement): void {
    this.options.logger.info('statement_heard', {
      target: start.target,
      born_ms: start.bornMs,
      limit_per_s: statement.limitPerS,
      leaving: statement.isLeaving,
      max_rejections_per_s: statement.maxRejectionsPerS,
    });
    this.onChange(start.target);
  }

  /** Whether the service's targets end when they have to reject much. */
  isBrittle(service: ServiceId): boolean {
    return this.brittleness.isBrittle(service);
  }

  maxRuns(target: TargetAnnouncement, nowMs: number): number | undefined {
    return this.brittleness.maxRuns(target, this.statementOf(target.id), nowMs);
  }

  recordEnd(
    target: TargetAnnouncement,
    outcome: RunOutcome,
    runsLeft: number,
    nowMs: number,
  ): void {
    this.brittleness.recordEnd(target, outcome, runsLeft, nowMs);
  }

  hasLeft(start: TargetStart): boolean {
    return statementOf(this.table, start).isLeaving;
  }

  mayUse(start: TargetStart): boolean {
    if (this.hasLeft(start)) return false;
    return pauseLeftMs(this.pauses, start, this.options.nowMs()) === 0;
  }

  pausedTargets(): readonly TargetId[] {
    if (this.pauses.size === 0) return [];
    endPauses(this.pauses, this.options.nowMs());
    return [...this.pauses.keys()].filter(id => this.pauseLeft(id) > 0);
  }

  pauseLeftMs(targets: readonly TargetId[]): number | undefined {
    const leftMs = targets.map(id => this.pauseLeft(id)).filter(ms => ms > 0);
    return leftMs.length === 0 ? undefined : Math.min(...leftMs);
  }

  isLeaving(target: TargetId): boolean {
    return this.statementOf(target).isLeaving;
  }

  learn(reports: readonly StatementReport[]): void {
    const nowMs = this.options.nowMs();
    for (const report of reports) {
      const isNew = learnStatement(this.table, report, nowMs);
      if (isNewest(this.table, report)) this.brittleness.learn(report);
      if (isNew) this.onChange(report.start.target);
    }
  }

  /** Reports all that this entry knows to a leader that may not. */
  reportAll(leader: Peer | undefined): void {
    this.brittleness.onLeader();
    const reports = statementReports(this.table, this.options.nowMs());
    if (reports.length > 0) leader?.notify('statements', {reports});
  }

  forget(target: TargetId): void {
    this.table.delete(target);
    this.rates.delete(target);
    this.pauses.delete(target);
    this.limited.delete(target);
    this.brittleness.forget(target);
  }

  expectedPerS(target: TargetId): number | undefined {
    const limitPerS = this.limitOf(target);
    return limitPerS && limitPerS / this.sharersOf(target);
  }

  /** Without a leader any entry may send; with one, those that ask it. */
  private sharersOf(target: TargetId): number {
    const {leader, entryCount} = this.options;
    const asking = leader() && this.limited.get(target)?.sharers;
    return Math.max(1, asking ?? entryCount());
  }

  maySend(target: TargetId, nowMs: number): boolean {
    if (this.limitOf(target) === undefined) return true;
    if (this.options.leader() === undefined)
      return msUntilSend(this.rates, target, nowMs) === 0;
    return this.validGrants(target, nowMs).length > 0;
  }

  recordSend(target: TargetId, nowMs: number): void {
    const perS = this.expectedPerS(target);
    if (perS === undefined) return;
    recordSend(this.rates, target, perS, nowMs);
    this.validGrants(target, nowMs).shift();
  }

  want(target: TargetId, nowMs: number): void {
    const leader = this.options.leader();
    const row = this.rowOf(target);
    if (leader === undefined || row.isAsking || nowMs < row.askAgainAtMs)
      return;
    row.isAsking = true;
    void this.takeSend(leader, target, row);
  }

  private async takeSend(
    leader: Peer,
    target: TargetId,
    row: LimitedTarget,
  ): Promise<void> {
    const request: SendRequest = {target, entry: this.options.instance};
    const answer = await leader
      .request<SendAnswer>('take_send', request, TAKE_SEND_TIMEOUT_MS)
      .catch(() => undefined);
    const nowMs = this.options.nowMs();
    row.isAsking = false;
    row.sharers = answer?.sharers;
    if (answer?.isGranted) {
      row.grantsUntilMs.push(nowMs + GRANT_VALID_MS);
      this.options.onGrant();
      return;
    }
    const retryAfterMs = answer?.retryAfterMs ?? TAKE_SEND_TIMEOUT_MS;
    const waitMs = Math.max(ASK_AGAIN_MIN_MS, retryAfterMs);
    row.askAgainAtMs = nowMs + waitMs;
  }

  private limitOf(target: TargetId): number | undefined {
    return this.statementOf(target).limitPerS;
  }

  private statementOf(target: TargetId): TargetStatement {
    const start = this.options.startOf(target);
    return start ? statementOf(this.table, start) : NOTHING_STATED;
  }

  private pause(start: TargetStart, pauseMs: number): void {
    beginPause(this.pauses, start, this.options.nowMs() + pauseMs);
    this.options.logger.info('target_pauses', {
      target: start.target,
      pause_ms: Math.round(pauseMs),
    });
  }

  private pauseLeft(target: TargetId): number {
    const start = this.options.startOf(target);
    if (start === undefined) return 0;
    return pauseLeftMs(this.pauses, start, this.options.nowMs());
  }

  private rowOf(target: TargetId): LimitedTarget {
    const row = this.limited.get(target) ?? {
      grantsUntilMs: [],
      isAsking: false,
      askAgainAtMs: 0,
      sharers: undefined,
    };
    this.limited.set(target, row);
    return row;
  }

  private validGrants(target: TargetId, nowMs: number): number[] {
    const row = this.rowOf(target);
    row.grantsUntilMs = row.grantsUntilMs.filter(untilMs => untilMs > nowMs);
    return row.grantsUntilMs;
  }

  /** Entries without a leader begin at different times. */
  private onChange(target: TargetId): void {
    const {nowMs, random, onGrant, onLeaving} = this.options;
    if (this.isLeaving(target)) onLeaving(target);
    const perS = this.expectedPerS(target);
    if (perS === undefined) {
      this.limited.delete(target);
      onGrant();
      return;
    }
    const delayMs = (random() * MS_PER_S) / perS;
    startLimiting(this.rates, target, delayMs, nowMs());
  }

  private logInvalid({target, bornMs}: TargetStart, stated: HeadValues): void {
    const key = `${target}/${bornMs}`;
    if (this.loggedInvalid.has(key)) return;
    if (this.loggedInvalid.size >= MAX_LOGGED_STARTS) return;
    this.loggedInvalid.add(key);
    this.options.logger.warn('statement_invalid', {
      target,
      limits_per_s: stated.limitsPerS.join(','),
      leaving: stated.leaving.join(','),
      pauses_s: stated.pausesS.join(','),
      max_rejections_per_s: stated.maxRejectionsPerS?.join(','),
    });
  }
}

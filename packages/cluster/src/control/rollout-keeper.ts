/**
 * The leader's part of rollouts: collects the counts of entries, decides on them
 * by the rollout policy, leases the granted requests to entries, and submits the
 * end of the rollout. A rollout that completes is closed first: entries use the
 * new version only and their runs leave the old one, because the old targets are
 * stopped at once afterwards.
 */
import type {
  InstanceId,
  Logger,
  ServiceId,
  TargetId,
} from '@samphirefield/core';
import type {VersionGate} from '@samphirefield/gateway';
import {
  createRolloutJudge,
  decide,
  describeReason,
  recordEvidence,
  rolloutLeaseMs,
  type RolloutDecision,
  type RolloutLimits,
  type RolloutSituation,
} from '@samphirefield/policy/rollouts';
import type {SubmitOutcome} from './group-replica.js';
import {RolloutGate, type RolloutGrantView} from './rollout-gate.js';
import type {
  RolloutLease,
  RolloutLeases,
  RolloutReport,
  RolloutReportMessage,
} from './rollout-messages.js';
import {LeasedEntries} from './leased-entries.js';
import {
  findRollout,
  type Rollout,
  type RolloutCommand,
  type RolloutEnd,
  type StartRolloutCommand,
} from './rollout-state.js';

/**
 * The end is submitted by this time before the deadline, which leaves time to
 * commit it: a share of the duration, up to a maximum.
 */
const COMMIT_MARGIN_SHARE = 0.1;
const MAX_COMMIT_MARGIN_MS = 1_000;
/**
 * How long a check of the leadership holds. Well below the Raft lease's margin
 * for clock drift.
 */
const LEADERSHIP_CHECK_VALID_MS = 5;

export interface RolloutKeeperOptions {
  readonly limits: RolloutLimits;
  readonly logger: Logger;
  readonly nowMs: () => number;
  /** Unix time (ms), about the same at all daemons. */
  readonly wallMs: () => number;
  /** The term that this daemon leads; undefined: it does not lead. */
  readonly leadingTerm: () => number | undefined;
  /** Whether no other daemon can have taken over the leadership by now. */
  readonly holdsLease: () => boolean;
  /** Rollouts in the state of this daemon. */
  readonly rollouts: () => readonly Rollout[];
  readonly situationOf: (rollout: Rollout) => RolloutSituation;
  /** Entries that are connected to this daemon. */
  readonly entries: () => readonly InstanceId[];
  /** Whether all connected daemons handle the commands of rollouts. */
  readonly areCommandsKnown: () => boolean;
  readonly submit: (command: RolloutCommand) => Promise<SubmitOutcome>;
}

/** A rollout that runs while this daemon leads. */
interface WatchedRollout {
  readonly rollout: Rollout;
  readonly judge: ReturnType<typeof createRolloutJudge>;
  /** Before this, leases of an earlier leader may be in use. */
  readonly grantsFromMs: number;
  readonly deadlineMs: number;
  readonly entries: LeasedEntries;
  decision: RolloutDecision | undefined;
  /** Targets of the new version that get the granted requests. */
  targets: ReadonlySet<TargetId>;
  isEnding: boolean;
  loggedStage: string;
}

export class RolloutKeeper {
  private term: number | undefined;
  private termSinceMs = 0;
  private leadsUntilMs = 0;
  private readonly watched = new Map<ServiceId, WatchedRollout>();
  /** Which targets this daemon may place runs on while it leads. */
  readonly gate: VersionGate;

  constructor(private readonly options: RolloutKeeperOptions) {
    this.gate = new RolloutGate({
      rolloutOf: service => findRollout(options.rollouts(), service),
      grantOf: (rollout, entry) => this.grantOf(rollout, entry),
    });
  }

  get runningCount(): number {
    const {rollouts} = this.options;
    return rollouts().filter(({state}) => state === 'running').length;
  }

  /** Submits an order; refuses it while a daemon of an earlier build is linked. */
  async start(command: StartRolloutCommand): Promise<SubmitOutcome> {
    const {leadingTerm, areCommandsKnown, logger, submit} = this.options;
    if (leadingTerm() === undefined) return {kind: 'not_leader'};
    if (!areCommandsKnown()) {
      const reason = 'a daemon of an earlier build is connected';
      logger.warn('rollout_refused', {service: command.service, reason});
      return {kind: 'unknown', reason};
    }
    return submit(command);
  }

  /** Records the counts of an entry, and returns its leases. */
  report(message: RolloutReportMessage): RolloutLeases {
    this.follow();
    const {term} = this;
    if (term === undefined) throw new Error('not_leader');
    const leases = message.reports.flatMap(report => {
      const watched = this.watched.get(report.service);
      if (watched?.rollout.startIndex !== report.startIndex) return [];
      return this.leaseFor(watched, message, report) ?? [];
    });
    return {term, leases};
  }

  /** Applies changes of the leadership and of the replicated rollouts. */
  private follow(): void {
    const {leadingTerm, nowMs} = this.options;
    const term = leadingTerm();
    if (term !== this.term) {
      this.term = term;
      this.termSinceMs = nowMs();
      this.watched.clear();
      this.leadsUntilMs = 0;
    }
    if (term === undefined) return;
    this.watchRunning();
  }

  /** Decides on each running rollout; called every 250 ms. */
  decideAll(): void {
    this.follow();
    for (const watched of this.watched.values()) this.decideOn(watched);
  }

  private watchRunning(): void {
    const rollouts = this.options.rollouts();
    for (const [service, {rollout}] of this.watched) {
      const current = findRollout(rollouts, service);
      const isRunning =
        current?.state === 'running' &&
        current.startIndex === rollout.startIndex;
      if (!isRunning) this.watched.delete(service);
    }
    for (const rollout of rollouts) {
      if (rollout.state !== 'running' || this.watched.has(rollout.service))
        continue;
      this.watched.set(rollout.service, this.watch(rollout));
    }
  }

  private watch(rollout: Rollout): WatchedRollout {
    const {limits, logger} = this.options;
    const nowMs = this.options.nowMs();
    const {service, target, durationMs} = rollout;
    const ageMs = this.options.wallMs() - rollout.orderedAtMs;
    const orderedAtMs = nowMs - Math.max(0, ageMs);
    const deadlineMs = orderedAtMs + durationMs;
    const order = {service, target, orderedAtMs, deadlineMs};
    logger.info('rollout_watched', {
      service,
      target,
      start_index: rollout.startIndex,
      left_ms: Math.round(deadlineMs - nowMs),
      term: this.term,
    });
    return {
      rollout,
      judge: createRolloutJudge(order, limits, nowMs),
      grantsFromMs: this.termSinceMs + rolloutLeaseMs(limits),
      deadlineMs,
      entries: new LeasedEntries(rolloutLeaseMs(limits)),
      decision: undefined,
      targets: new Set(),
      isEnding: false,
      loggedStage: '',
    };
  }

  private decideOn(watched: WatchedRollout): void {
    const {rollout, judge, entries} = watched;
    const nowMs = this.options.nowMs();
    for (const lost of entries.writeOff(nowMs)) recordEvidence(judge, lost);
    const situation = this.options.situationOf(rollout);
    const decision = decide(judge, situation, nowMs);
    watched.decision = decision;
    const targets = decision.kind === 'continue' ? decision.targets : [];
    watched.targets = new Set(targets);
    this.logDecision(watched, decision, situation);
    if (decision.kind === 'continue') {
      const mayGrant = nowMs >= watched.grantsFromMs;
      entries.divide(mayGrant ? decision.allowedRequests : 0, nowMs);
      return;
    }
    const reason = describeReason(decision.reason);
    if (decision.kind === 'roll_back') this.end(watched, 'rolled_back', reason);
    else if (this.isClosed(watched, nowMs))
      this.end(watched, 'completed', reason);
  }

  /** Whether nothing runs on old targets, or the deadline is too close to wait. */
  private isClosed(watched: WatchedRollout, nowMs: number): boolean {
    const {rollout, deadlineMs, entries} = watched;
    const marginMs = Math.min(
      MAX_COMMIT_MARGIN_MS,
      COMMIT_MARGIN_SHARE * rollout.durationMs,
    );
    if (nowMs >= deadlineMs - marginMs) return true;
    return this.options.entries().every(entry => entries.hasClosed(entry));
  }

  private end(
    watched: WatchedRollout,
    outcome: RolloutEnd,
    reason: string,
  ): void {
    if (watched.isEnding) return;
    watched.isEnding = true;
    const {service, startIndex, target} = watched.rollout;
    const {logger, submit} = this.options;
    void submit({kind: 'end_rollout', service, startIndex, outcome, reason})
      .then(({kind}) => {
        logger.info('rollout_end', {service, target, outcome, reason, kind});
      })
      .finally(() => (watched.isEnding = false));
  }

  private grantOf(
    {service, startIndex}: Rollout,
    entry: InstanceId | undefined,
  ): RolloutGrantView | undefined {
    const watched = this.watched.get(service);
    if (watched?.rollout.startIndex !== startIndex) return undefined;
    if (!this.isConfirmedLeader()) return undefined;
    const {decision, targets, entries} = watched;
    if (decision?.kind === 'continue') return {targets, isClosing: false};
    if (decision?.kind !== 'complete') return undefined;
    // An entry that does not know of the closing would not use new targets.
    const isClosing = entry !== undefined && entries.isClosing(entry);
    return {targets, isClosing};
  }

  /**
   * Whether no other daemon can lead. Called for each target of a demand, so the
   * check is reused for a short time.
   */
  private isConfirmedLeader(): boolean {
    const {leadingTerm, holdsLease, nowMs} = this.options;
    const atMs = nowMs();
    if (
      atMs >= this.leadsUntilMs &&
      leadingTerm() === this.term &&
      holdsLease()
    )
      this.leadsUntilMs = atMs + LEADERSHIP_CHECK_VALID_MS;
    return atMs < this.leadsUntilMs;
  }

  private leaseFor(
    watched: WatchedRollout,
    {entry, incarnation}: RolloutReportMessage,
    report: RolloutReport,
  ): RolloutLease | undefined {
    const nowMs = this.options.nowMs();
    const {judge, decision, entries} = watched;
    const {service, startIndex, seenRequests, rows} = report;
    recordEvidence(judge, {entry, incarnation, seenRequests, rows});
    entries.record(entry, incarnation, report, nowMs);
    if (decision === undefined || decision.kind === 'roll_back')
      return undefined;
    if (!this.options.holdsLease()) return undefined;
    const isClosing = decision.kind === 'complete';
    if (!isClosing && nowMs < watched.grantsFromMs) return undefined;
    return {
      service,
      startIndex,
      leaseMs: rolloutLeaseMs(this.options.limits),
      allowedRequests: entries.grant(entry, incarnation),
      sendShare: isClosing ? 1 : decision.sendShare,
      targets: isClosing ? [] : decision.targets,
      focusRoutes: isClosing ? [] : decision.focusRoutes,
      focusShare: isClosing ? 1 : decision.focusShare,
      isClosing,
    };
  }

  private logDecision(
    watched: WatchedRollout,
    decision: RolloutDecision,
    {oldTargets, newTargets}: RolloutSituation,
  ): void {
    const {rollout, entries} = watched;
    const isGrant = decision.kind === 'continue';
    const stage = isGrant ? decision.stage : decision.kind;
    if (stage === watched.loggedStage) return;
    watched.loggedStage = stage;
    this.options.logger.info('rollout_decision', {
      service: rollout.service,
      target: rollout.target,
      decision: stage,
      reason: isGrant ? undefined : describeReason(decision.reason),
      allowed: isGrant ? Math.floor(decision.allowedRequests) : undefined,
      used: entries.usedRequests,
      seen: entries.seenRequests,
      old_targets: oldTargets,
      new_targets: newTargets.length,
    });
  }
}

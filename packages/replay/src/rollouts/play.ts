/**
 * Plays a rollout in virtual time: entries with delayed links, leases, entries
 * that are cut off, a change of leader, and targets of a good or bad version.
 */
import {createRandom, type Random} from '@samphirefield/replication/fuzz';
import {serviceId, type TargetId} from '@samphirefield/core';
import {
  versionId,
  type RolloutDecision,
  type RolloutOrder,
  type VersionSide,
} from '@samphirefield/policy';
import {EventQueue} from '../simulate/event-queue.js';
import {Entry} from './entry.js';
import {Leader, type Report} from './leader.js';
import type {Scenario} from './scenario.js';
import {BURST_MS, Targets, type Run} from './targets.js';

export const LIMITS = {exposeShare: 0.1, exposeSlack: 50, rollbackMs: 5_000};
/** The bad response from which `rollbackMs` counts. */
const COUNTED_BAD_RESPONSE = 50;
const DECIDE_EVERY_MS = 250;
const REPORT_EVERY_MS = 250;
/** One way between an entry and the leader, and a commit in the group. */
const LINK_MS = [1, 40] as const;
const COMMIT_MS = [5, 150] as const;
const CUT_OFF_MS = 6_000;
/** Time without a leader. */
const ELECTION_MS = 1_700;
const CUT_OFF_PART = 1 / 3;
const MS_PER_S = 1_000;
/** Factor of the arrivals in a burst. */
const BURST_FACTOR = 3;
const STEPS = 1_000_000;

export interface Outcome {
  readonly state: 'running' | 'completed' | 'rolled_back';
  readonly endedAtMs: number | undefined;
  readonly decision: RolloutDecision | undefined;
  /** Requests between order and deadline, and those sent to the new version. */
  readonly requests: number;
  readonly exposed: number;
  readonly badResponses: number;
  /** From the 50th bad response to the last request sent; 0: none after it. */
  readonly lastSentAfterMs: number;
}

class RolloutPlay {
  private readonly queue = new EventQueue();
  private readonly random: Random;
  private readonly targets: Targets;
  private readonly entries: readonly Entry[];
  private readonly order: RolloutOrder;
  private leader: Leader | undefined;
  private end: RolloutDecision | undefined;
  private endedAtMs: number | undefined;
  private requests = 0;
  private exposed = 0;
  private badResponses = 0;
  private countedAtMs: number | undefined;
  private lastSentAfterMs = 0;

  constructor(private readonly scenario: Scenario) {
    const {durationMs, entries, seed} = scenario;
    this.random = createRandom(seed + 1);
    this.targets = new Targets(scenario, this.random);
    this.entries = Array.from(
      {length: entries},
      (_, index) => new Entry(index, this.random),
    );
    this.order = {
      service: serviceId('s'),
      target: versionId('v2'),
      orderedAtMs: 0,
      deadlineMs: durationMs,
    };
  }

  play(): Outcome {
    const {queue, scenario} = this;
    const endMs = scenario.durationMs + LIMITS.rollbackMs + MS_PER_S;
    this.leader = this.createLeader();
    this.every(DECIDE_EVERY_MS, 0, () => this.lead());
    for (const [index, entry] of this.entries.entries()) {
      const phaseMs = this.random.below(REPORT_EVERY_MS);
      this.every(REPORT_EVERY_MS, phaseMs, () => this.report(index, entry));
    }
    if (scenario.trouble === 'leader_change') this.changeLeader();
    this.arrive();
    while (queue.step(endMs));
    return this.outcome();
  }

  private outcome(): Outcome {
    const {badResponses, end, endedAtMs, exposed, lastSentAfterMs, requests} =
      this;
    const ended = end?.kind === 'complete' ? 'completed' : 'rolled_back';
    return {
      state: end && endedAtMs !== undefined ? ended : 'running',
      endedAtMs,
      decision: end,
      requests,
      exposed,
      badResponses,
      lastSentAfterMs,
    };
  }

  private createLeader(): Leader {
    const {nowMs} = this.queue;
    return new Leader(this.order, LIMITS, this.entries.length, nowMs);
  }

  private changeLeader(): void {
    const {troubleAtMs} = this.scenario;
    this.queue.schedule(troubleAtMs, () => (this.leader = undefined));
    this.queue.schedule(troubleAtMs + ELECTION_MS, () => {
      this.leader = this.createLeader();
    });
  }

  private every(periodMs: number, phaseMs: number, run: () => void): void {
    const tick = () => {
      run();
      this.queue.schedule(this.queue.nowMs + periodMs, tick);
    };
    this.queue.schedule(this.queue.nowMs + phaseMs, tick);
  }

  private after(delayMs: number, run: () => void): void {
    this.queue.schedule(this.queue.nowMs + delayMs, run);
  }

  private isCutOff(index: number): boolean {
    const {trouble, troubleAtMs} = this.scenario;
    const sinceMs = this.queue.nowMs - troubleAtMs;
    return (
      trouble === 'cut_off_entries' &&
      index < this.entries.length * CUT_OFF_PART &&
      sinceMs >= 0 &&
      sinceMs < CUT_OFF_MS
    );
  }

  private report(index: number, entry: Entry): void {
    if (this.isCutOff(index)) return;
    const report: Report = {
      evidence: entry.report(),
      sentToNew: entry.sentToNew,
      allowedRequests: entry.lease?.allowedRequests ?? 0,
      sentAtMs: this.queue.nowMs,
    };
    this.after(this.random.between(...LINK_MS), () =>
      this.leader?.receive(report),
    );
  }

  private lead(): void {
    const {end, leader, queue, targets} = this;
    if (!leader) return;
    const {nowMs} = queue;
    if (end) return this.announceEnd(end);
    const newTargets = targets.usable('new', nowMs);
    const oldTargets = targets.usable('old', nowMs).length;
    const decision = leader.decide({newTargets, oldTargets}, nowMs);
    if (!decision) return;
    if (decision.kind !== 'continue') return this.commit(leader, decision);
    const leases = leader.lease(decision, nowMs);
    for (const [index, entry] of this.entries.entries()) {
      const lease = leases.get(entry.id);
      if (!lease || this.isCutOff(index)) continue;
      this.after(this.random.between(...LINK_MS), () => (entry.lease = lease));
    }
  }

  private commit(leader: Leader, decision: RolloutDecision): void {
    this.after(this.random.between(...COMMIT_MS), () => {
      if (this.end || this.leader !== leader) return;
      this.end = decision;
      this.endedAtMs = this.queue.nowMs;
      this.announceEnd(decision);
    });
  }

  private announceEnd({kind}: RolloutDecision): void {
    const state = kind === 'complete' ? 'completed' : 'rolled_back';
    for (const [index, entry] of this.entries.entries()) {
      if (this.isCutOff(index) || entry.state === state) continue;
      this.after(this.random.between(...LINK_MS), () => (entry.state = state));
    }
  }

  /** Schedules the next request at a random time. */
  private arrive(): void {
    const {durationMs, faultAtMs, kind, ratePerS} = this.scenario;
    const {nowMs} = this.queue;
    const sinceMs = nowMs - faultAtMs;
    const isBurst = kind === 'burst' && sinceMs >= 0 && sinceMs < BURST_MS;
    const meanMs = MS_PER_S / (ratePerS * (isBurst ? BURST_FACTOR : 1));
    const uniform = (1 + this.random.below(STEPS)) / (STEPS + 1);
    this.after(-Math.log(uniform) * meanMs, () => {
      if (this.queue.nowMs <= durationMs + LIMITS.rollbackMs) this.arrive();
      this.send();
    });
  }

  private send(): void {
    const {nowMs} = this.queue;
    const entry = this.random.pick(this.entries)!;
    const route = this.random.below(this.scenario.routes);
    const isBefore = nowMs <= this.scenario.durationMs;
    entry.seen += 1;
    if (isBefore) this.requests += 1;
    const any = () => this.targets.pickAny('new');
    const chosen = entry.chooseNew(`/${route}`, nowMs, any);
    const side = chosen ? 'new' : 'old';
    if (chosen && isBefore) this.exposed += 1;
    if (chosen && this.countedAtMs !== undefined)
      this.lastSentAfterMs = nowMs - this.countedAtMs;
    entry.countSent(`/${route}`, side, chosen);
    const target = chosen ?? this.targets.pickAny('old');
    const run = this.targets.run(side, target, route, nowMs);
    if (run.tookMs === undefined) return;
    this.after(run.tookMs, () => this.endRun(entry, route, side, chosen, run));
  }

  private endRun(
    entry: Entry,
    route: number,
    side: VersionSide,
    target: TargetId | undefined,
    run: Run,
  ): void {
    entry.countEnd(`/${route}`, side, target, run);
    if (side === 'old' || !(run.isFailure || run.isVersionsFault)) return;
    this.badResponses += 1;
    if (this.badResponses === COUNTED_BAD_RESPONSE)
      this.countedAtMs = this.queue.nowMs;
  }
}

export function playRollout(scenario: Scenario): Outcome {
  return new RolloutPlay(scenario).play();
}

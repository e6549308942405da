/** The state of one running rollout at an entry: its lease and its counts. */
import type {RequestId, TargetId} from '@samphirefield/core';
import type {Demand, ObservedEnd, VersionId} from '@samphirefield/gateway';
import type {
  Rollout,
  RolloutGrantView,
  RolloutLease,
  RolloutReport,
} from '../control/index.js';
import {RolloutCounts} from './rollout-counts.js';

export interface RunningRolloutOptions {
  readonly rollout: Rollout;
  readonly nowMs: () => number;
  readonly random: () => number;
}

interface HeldLease extends RolloutGrantView {
  readonly lease: RolloutLease;
  readonly untilMs: number;
}

/** One attempt that was sent to a target of the service. */
export interface CountedRun {
  noteAnswer(latencyMs: number): void;
  noteMove(target: TargetId, version: VersionId | undefined): void;
  noteEnd(end: ObservedEnd): void;
}

export class RunningRollout {
  readonly rollout: Rollout;
  readonly counts = new RolloutCounts();
  private held: HeldLease | undefined;
  private usedRequests = 0;
  /** Requests that were granted and have no target yet. */
  private readonly waiting = new Set<RequestId>();
  private oldRuns = 0;

  constructor(private readonly options: RunningRolloutOptions) {
    this.rollout = options.rollout;
  }

  /** Undefined without a valid lease. */
  grant(): RolloutGrantView | undefined {
    return this.validLease();
  }

  private validLease(): HeldLease | undefined {
    const {held} = this;
    const isValid = held !== undefined && this.options.nowMs() < held.untilMs;
    return isValid ? held : undefined;
  }

  /** Returns whether other targets may be used than before. */
  takeLease(lease: RolloutLease, sentAtMs: number): boolean {
    const before = this.validLease();
    this.held = {
      lease,
      untilMs: sentAtMs + lease.leaseMs,
      targets: new Set(lease.targets),
      isClosing: lease.isClosing,
    };
    return before?.isClosing !== lease.isClosing;
  }

  recordArrival(): void {
    this.counts.seenRequests += 1;
  }

  /** Whether the request may go to the new version; counts it if so. */
  take({request, route, isRunning, excluded}: Demand): boolean {
    const held = this.validLease();
    if (held === undefined || held.isClosing || held.targets.size === 0)
      return false;
    const {lease} = held;
    // The next attempt of a request that failed goes to the old version.
    const isRepeated = excluded.length > 0 && lease.sendShare < 1;
    if (isRunning || isRepeated) return false;
    if (this.usedRequests >= lease.allowedRequests) return false;
    if (this.options.random() >= shareOf(route, lease)) return false;
    this.usedRequests += 1;
    this.waiting.add(request);
    return true;
  }

  settle(request: RequestId, version: VersionId | undefined): void {
    if (version === this.rollout.target) this.waiting.delete(request);
    else this.withdraw(request);
  }

  withdraw(request: RequestId): void {
    if (!this.waiting.delete(request)) return;
    this.usedRequests -= 1;
  }

  startRun(
    route: string,
    target: TargetId,
    version: VersionId | undefined,
  ): CountedRun {
    const {counts, options} = this;
    const sentAtMs = options.nowMs();
    let side = this.sideOf(version);
    let key = counts.addSent(route, side, target);
    let isAnswered = false;
    if (side === 'old') this.oldRuns += 1;
    const noteAnswer = (latencyMs: number) => {
      if (isAnswered) return;
      isAnswered = true;
      counts.addAnswer(key, latencyMs);
    };
    return {
      noteAnswer,
      noteMove: (next, nextVersion) => {
        const nextSide = this.sideOf(nextVersion);
        if (side === 'old') this.oldRuns -= 1;
        if (nextSide === 'old') this.oldRuns += 1;
        side = nextSide;
        key = counts.keyFor(route, side, next);
      },
      noteEnd: end => {
        if (side === 'old') this.oldRuns -= 1;
        if (end === 'bad') counts.addBad(key);
        else if (end === 'sound') noteAnswer(options.nowMs() - sentAtMs);
        else if (!isAnswered) counts.addAbandoned(key);
      },
    };
  }

  private sideOf(version: VersionId | undefined): 'old' | 'new' {
    return version === this.rollout.target ? 'new' : 'old';
  }

  report(): RolloutReport {
    const held = this.validLease();
    const {service, startIndex} = this.rollout;
    const allowed = held?.lease.allowedRequests ?? 0;
    return {
      service,
      startIndex,
      seenRequests: this.counts.seenRequests,
      usedRequests: this.usedRequests,
      heldRequests: Math.max(this.usedRequests, allowed),
      rows: this.counts.takeUnreported(),
      isClosing: held?.isClosing ?? false,
      oldRuns: this.oldRuns,
    };
  }
}

/** The probability with which a request goes to the new version. */
function shareOf(
  route: string | undefined,
  {sendShare, focusShare, focusRoutes}: RolloutLease,
): number {
  const isFocus = route !== undefined && focusRoutes.includes(route);
  return isFocus ? focusShare : sendShare;
}

/** An entry: sends to the new version within its lease, and counts results. */
import type {Random} from '@samphirefield/replication/fuzz';
import {
  incarnation,
  instanceId,
  type InstanceId,
  type TargetId,
} from '@samphirefield/core';
import {
  LATENCY_BUCKETS,
  latencyBucket,
  type EvidenceRow,
  type RolloutEvidence,
  type RolloutGrant,
  type VersionSide,
} from '@samphirefield/policy';
import type {Run} from './targets.js';

export interface Lease {
  readonly grant: RolloutGrant;
  readonly allowedRequests: number;
  readonly shareFactor: number;
  readonly untilMs: number;
}

interface Sums {
  sent: number;
  bad: number;
  readonly latency: number[];
}

export class Entry {
  readonly id: InstanceId;
  seen = 0;
  sentToNew = 0;
  lease: Lease | undefined;
  state: 'running' | 'completed' | 'rolled_back' = 'running';
  private readonly rows = new Map<
    string,
    {route: string; side: VersionSide; target?: TargetId; sums: Sums}
  >();

  constructor(
    index: number,
    private readonly random: Random,
  ) {
    this.id = instanceId(`entry-${index}`);
  }

  /** The target of the new version for this request, or undefined: old. */
  chooseNew(
    route: string,
    nowMs: number,
    any: () => TargetId,
  ): TargetId | undefined {
    if (this.state === 'completed') return any();
    const {lease} = this;
    if (this.state === 'rolled_back' || !lease) return undefined;
    const {focusRoutes, focusShare, sendShare, targets} = lease.grant;
    if (nowMs >= lease.untilMs) return undefined;
    if (this.sentToNew >= lease.allowedRequests) return undefined;
    const share = focusRoutes.includes(route) ? focusShare : sendShare;
    const isNew = this.random.chance(share * lease.shareFactor);
    return isNew ? this.random.pick(targets) : undefined;
  }

  private sumsOf(route: string, side: VersionSide, target?: TargetId): Sums {
    const key = `${route} ${side} ${target}`;
    const known = this.rows.get(key);
    if (known) return known.sums;
    const latency = new Array<number>(LATENCY_BUCKETS).fill(0);
    const sums = {sent: 0, bad: 0, latency};
    this.rows.set(key, {route, side, sums, ...(target && {target})});
    return sums;
  }

  countSent(route: string, side: VersionSide, target?: TargetId): void {
    this.sumsOf(route, side, target).sent += 1;
    if (side === 'new') this.sentToNew += 1;
  }

  countEnd(
    route: string,
    side: VersionSide,
    target: TargetId | undefined,
    {isFailure, tookMs}: Run,
  ): void {
    const sums = this.sumsOf(route, side, target);
    if (isFailure) sums.bad += 1;
    else sums.latency[latencyBucket(tookMs!)]! += 1;
  }

  report(): RolloutEvidence {
    const rows = [...this.rows.values()].map(
      ({route, side, target, sums}): EvidenceRow => ({
        route,
        side,
        ...(target && {target}),
        sentRequests: sums.sent,
        badResponses: sums.bad,
        abandonedRequests: 0,
        latencyCounts: [...sums.latency],
      }),
    );
    return {
      entry: this.id,
      incarnation: incarnation('1'),
      seenRequests: this.seen,
      rows,
    };
  }
}

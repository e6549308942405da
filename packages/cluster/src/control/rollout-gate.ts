/**
 * Decides which targets a dispatcher may use, from the rollouts in the replicated
 * state and the grants of a running one. The same rules apply on the leader,
 * which places runs on engines, and on entries, which choose plain targets.
 */
import type {InstanceId, ServiceId, TargetId} from '@samphirefield/core';
import type {
  Demand,
  TargetAnnouncement,
  VersionGate,
} from '@samphirefield/gateway';
import {isStopped, useOfVersion, type Rollout} from './rollout-state.js';

/** What a running rollout allows now. */
export interface RolloutGrantView {
  /** Targets of the new version that get the granted requests. */
  readonly targets: ReadonlySet<TargetId>;
  /** Whether new targets get all requests, and old ones none. */
  readonly isClosing: boolean;
}

export interface RolloutGateOptions {
  /** The newest rollout of a service; undefined if it had none. */
  readonly rolloutOf: (service: ServiceId) => Rollout | undefined;
  /** What is granted to an entry; undefined while that is nothing. */
  readonly grantOf: (
    rollout: Rollout,
    entry: InstanceId | undefined,
  ) => RolloutGrantView | undefined;
}

type PlacedDemand = Pick<Demand, 'rolloutSide'> &
  Partial<Pick<Demand, 'entry'>>;

export class RolloutGate implements VersionGate {
  constructor(private readonly options: RolloutGateOptions) {}

  mayPlaceOn(
    target: TargetAnnouncement,
    {rolloutSide, entry}: PlacedDemand,
  ): boolean {
    const rollout = this.options.rolloutOf(target.service);
    if (rollout === undefined) return true;
    const use = useOfVersion(rollout, target.version);
    if (use === 'closed') return false;
    if (rollout.state !== 'running') return true;
    const grant = this.options.grantOf(rollout, entry);
    const isClosing = grant?.isClosing ?? false;
    if (use === 'open') return !isClosing;
    if (isClosing) return true;
    return rolloutSide === 'new' && (grant?.targets.has(target.id) ?? false);
  }

  isMeantFor(target: TargetAnnouncement, {rolloutSide}: PlacedDemand): boolean {
    if (rolloutSide !== 'new') return false;
    return this.options.rolloutOf(target.service)?.target === target.version;
  }

  /** Whether the target's version is stopped, or is about to be. */
  isLeaving({service, version}: TargetAnnouncement): boolean {
    const rollout = this.options.rolloutOf(service);
    if (rollout === undefined) return false;
    if (isStopped(rollout, version)) return true;
    const isOld = useOfVersion(rollout, version) !== 'granted';
    const isRunning = rollout.state === 'running';
    return isRunning && isOld && this.isClosing(rollout);
  }

  private isClosing(rollout: Rollout): boolean {
    return this.options.grantOf(rollout, undefined)?.isClosing ?? false;
  }
}

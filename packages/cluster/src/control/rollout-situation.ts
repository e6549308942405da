/** Counts the usable targets of a service by version, at the leader. */
import type {ZoneId} from '@samphirefield/core';
import type {TargetAnnouncement} from '@samphirefield/gateway';
import type {RolloutSituation} from '@samphirefield/policy/rollouts';
import {useOfVersion, type Rollout} from './rollout-state.js';

export interface SituationSources {
  /** Targets that are ready and not silent. */
  readonly targets: Iterable<TargetAnnouncement>;
  readonly zonesOut: readonly ZoneId[];
  readonly isLeaving: (target: TargetAnnouncement) => boolean;
}

export function situationOf(
  rollout: Rollout,
  {targets, zonesOut, isLeaving}: SituationSources,
): RolloutSituation {
  let oldTargets = 0;
  const newTargets = [];
  for (const target of targets) {
    const isUsable =
      target.service === rollout.service &&
      !zonesOut.includes(target.zone) &&
      !isLeaving(target);
    if (!isUsable) continue;
    const use = useOfVersion(rollout, target.version);
    if (use === 'granted') newTargets.push(target.id);
    else if (use === 'open') oldTargets += 1;
  }
  return {oldTargets, newTargets};
}

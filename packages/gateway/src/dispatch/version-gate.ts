/** Which versions of a service's targets a dispatcher may use. */
import type {TargetAnnouncement} from '../registry/index.js';
import type {Demand} from './types.js';

export interface VersionGate {
  /** Asked before each placement of a demand on a target. */
  mayPlaceOn(target: TargetAnnouncement, demand: Demand): boolean;
  /** Whether the demand is meant for the version of the target. */
  isMeantFor(target: TargetAnnouncement, demand: Demand): boolean;
}

export const ALL_VERSIONS: VersionGate = {
  mayPlaceOn: () => true,
  isMeantFor: () => false,
};

/** Types of the choice of the entries through which an entry may relay. */
import type {InstanceId, ZoneId} from '@samphirefield/core';

/** An entry that relays requests for others. */
export interface RelayMember {
  readonly instance: InstanceId;
  readonly zone: ZoneId;
}

/** How many peers an entry is told of. */
export interface RelayPeerCounts {
  readonly sameZone: number;
  readonly otherZones: number;
}

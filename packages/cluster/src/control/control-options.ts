/** What a control daemon is started with. */
import type {InstanceId, Logger, ZoneId} from '@samphirefield/core';
import type {RolloutLimits} from '@samphirefield/policy/rollouts';
import type {ConfigDecoder} from '../config-decoder.js';
import type {Address} from '../link/index.js';
import type {GroupReplicaOptions, GroupTiming} from './group-replica.js';

export interface ControlNodeOptions {
  readonly instance: InstanceId;
  readonly zone: ZoneId;
  readonly dataFolder: string;
  readonly address: Address;
  readonly seeds: readonly Address[];
  readonly isFirstStart: boolean;
  readonly timing: GroupTiming;
  /** Number of voters that the group should have; odd. */
  readonly voters: number;
  readonly replaceAfterMs?: number | undefined;
  /** A target without announcements for this long gets no new requests. */
  readonly targetSilentAfterMs: number;
  readonly decodeConfig: ConfigDecoder;
  readonly logger: Logger;
  readonly nowMs: () => number;
  /** Whether admission control decides for engines; default: no. */
  readonly usesAdmission?: boolean;
  readonly openStorage?: GroupReplicaOptions['openStorage'];
  readonly rollouts?: {
    readonly limits?: RolloutLimits;
    /** Unix time (ms), about the same at all daemons. Default: `Date.now`. */
    readonly wallMs?: () => number;
  };
}

/** Used where a deployment sets no limits. */
export const DEFAULT_ROLLOUT_LIMITS: RolloutLimits = {
  exposeShare: 0.1,
  exposeSlack: 50,
  rollbackMs: 5_000,
};

/** Announcements of targets, and the table in which daemons keep them. */
import type {ServiceId, TargetId, ZoneId} from '@samphirefield/core';
import type {VersionId} from '@samphirefield/policy/rollouts';

/**
 * State of one incarnation of a target, as announced by the target. A target
 * may start again under the same id.
 */
export interface TargetAnnouncement {
  readonly id: TargetId;
  /** Unix time (ms) of the target's start; 0 when it was not announced. */
  readonly bornMs: number;
  /** Increases with each announcement of one incarnation. */
  readonly sequence: number;
  readonly service: ServiceId;
  /** Missing where the target names none. */
  readonly version?: VersionId;
  readonly host: string;
  readonly port: number;
  readonly zone: ZoneId;
  readonly slots: number;
  readonly state: 'ready' | 'draining' | 'gone';
  /**
   * Set on a target that is gone because another one announced its address:
   * whether it had not said that it leaves.
   */
  readonly hasCrashed?: boolean;
  /** How much longer the target stays cold, counted from the announcement. */
  readonly coldLeftMs: number;
}

export interface TargetRecord {
  readonly announcement: TargetAnnouncement;
  /** When the target was last seen, on the clock of this process. */
  readonly lastSeenAtMs: number;
  /** Until when the target is cold, on the clock of this process. */
  readonly coldUntilMs: number;
  /** Announcements since another target announced its address. */
  readonly signsOfLife?: SignsOfLife;
}

export interface SignsOfLife {
  readonly count: number;
  readonly firstAtMs: number;
  readonly sequence: number;
}

export type TargetTable = Map<TargetId, TargetRecord>;

/** What targets say of themselves, and the table that daemons keep of it. */
import type {ServiceId, TargetId, ZoneId} from '@samphirefield/core';

/** One start of one target. A target may start again under the same id. */
export interface TargetAnnouncement {
  readonly id: TargetId;
  /** Unix time of its start; 0 when it did not say. */
  readonly bornMs: number;
  /** Grows with each announcement of one start. */
  readonly sequence: number;
  readonly service: ServiceId;
  readonly host: string;
  readonly port: number;
  readonly zone: ZoneId;
  readonly slots: number;
  readonly state: 'ready' | 'draining' | 'gone';
  /** How much longer it stays cold, counted from its announcement. */
  readonly coldLeftMs: number;
}

export interface TargetRecord {
  readonly announcement: TargetAnnouncement;
  /** When it was last heard, on the clock of this process. */
  readonly lastSeenAtMs: number;
  /** Until when it is cold, on the clock of this process. */
  readonly coldUntilMs: number;
}

export type TargetTable = Map<TargetId, TargetRecord>;

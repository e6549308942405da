/** What the leader offers to the daemons of its deployment. */
import type {
  ConfigDelta,
  ConfigView,
  OperatorAnswer,
} from '@samphirefield/control';
import type {ZoneId, TargetId} from '@samphirefield/core';
import type {EntryOrders} from '@samphirefield/policy';
import type {SubmitError} from '@samphirefield/replication';

/** Where the leader is, as far as this daemon knows. */
export interface LeaderHint {
  readonly instance: string;
  readonly address: string;
  readonly port: number;
}

export type NotLeader = {
  readonly kind: 'not_leader';
  readonly leader: LeaderHint | undefined;
};

/** The part of the configuration that a daemon lacks. */
export type ConfigNews =
  | {readonly kind: 'none'}
  | {readonly kind: 'deltas'; readonly deltas: readonly ConfigDelta[]}
  | {readonly kind: 'whole'; readonly view: ConfigView};

export type HeartbeatAnswer =
  | NotLeader
  | {readonly kind: 'overtaken'}
  | {
      readonly kind: 'ok';
      readonly leaderInstance: string;
      readonly term: number;
      readonly orders: EntryOrders;
      readonly news: ConfigNews;
      readonly voters: readonly LeaderHint[];
    };

export type ApplyAnswer<Answer> =
  | NotLeader
  | {readonly kind: 'unknown_outcome'}
  | {readonly kind: 'applied'; readonly answer: Answer};

export type OperatorOutcome =
  | NotLeader
  | {readonly kind: 'unknown_outcome'}
  | {readonly kind: 'invalid_rules'; readonly errors: readonly string[]}
  | {
      readonly kind: 'unseen';
      readonly what: string;
      readonly seen: ReadonlyArray<ZoneId | TargetId>;
    }
  | {readonly kind: 'answered'; readonly answer: OperatorAnswer};

/** One entry in the operators' status. */
export interface EntryStatus {
  readonly instance: string;
  readonly zone: string;
  readonly revision: number;
  readonly heardMsAgo: number;
  readonly hasLease: boolean;
}

export interface TargetStatus {
  readonly target: string;
  readonly service: string;
  readonly zone: string;
  readonly isWarm: boolean;
  readonly isLapsed: boolean;
  readonly isLeaving: boolean;
  readonly bearsSlots: number;
  readonly grantedSlots: number;
  readonly running: number;
}

export interface MemberStatus {
  readonly replica: string;
  readonly instance: string;
  readonly role: string;
  readonly silentMs: number;
  readonly lagEntries: number;
}

export interface ClusterStatus {
  readonly leader: string;
  readonly term: number;
  readonly revision: number;
  readonly configHash: string;
  /** Whether every entry holds the revision or has lost its lease. */
  readonly isInForce: boolean;
  readonly outZones: readonly string[];
  readonly outTargets: readonly string[];
  readonly entries: readonly EntryStatus[];
  readonly targets: readonly TargetStatus[];
  readonly members: readonly MemberStatus[];
  readonly ledgerRecords: number;
  readonly quarantined: readonly string[];
}

export type StatusAnswer =
  NotLeader | {readonly kind: 'ok'; readonly status: ClusterStatus};
export type ConfigAnswer =
  NotLeader | {readonly kind: 'ok'; readonly view: ConfigView};

export type BootstrapAnswer =
  | {readonly kind: 'ok'; readonly replica: string}
  | {readonly kind: 'refused'; readonly reason: string};

export type {SubmitError};

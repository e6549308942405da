/** Responses of the leader to the other daemons, and its orders to targets. */
import type {
  ClusterStatus,
  ConfigDelta,
  ConfigView,
  OperatorResult,
} from '@samphirefield/control';
import type {Announcement} from '@samphirefield/core';
import type {Result} from 'neverthrow';
import type {ReportResponse, LoadOrder} from '@samphirefield/policy';
import type {SubmitError} from '@samphirefield/replication';

/** Address of an instance's daemon: the leader, a voter or a seed. */
export interface DaemonAddress {
  readonly instance: string;
  readonly address: string;
  readonly port: number;
}

export type NotLeader = {
  readonly kind: 'not_leader';
  /** The current leader, if the responding daemon has seen one. */
  readonly leader: DaemonAddress | undefined;
};

/** The part of the configuration that a daemon lacks. */
export type ConfigUpdate =
  | {readonly kind: 'none'}
  | {readonly kind: 'deltas'; readonly deltas: readonly ConfigDelta[]}
  | {readonly kind: 'whole'; readonly view: ConfigView};

export type HeartbeatResponse =
  | NotLeader
  /** The leader already handled this heartbeat or a later one of the holder. */
  | {readonly kind: 'overtaken'}
  | {
      readonly kind: 'ok';
      readonly leaderInstance: string;
      readonly term: number;
      readonly orders: ReportResponse;
      readonly news: ConfigUpdate;
      readonly voters: readonly DaemonAddress[];
    };

export type ApplyResponse<Output> =
  | NotLeader
  | {readonly kind: 'unknown_outcome'}
  | {readonly kind: 'applied'; readonly answer: Output};

export type OperatorOutcome =
  | NotLeader
  | {readonly kind: 'unknown_outcome'}
  | {readonly kind: 'invalid_rules'; readonly errors: readonly string[]}
  | {
      readonly kind: 'unseen';
      readonly what: string;
      readonly seen: readonly string[];
    }
  | {readonly kind: 'answered'; readonly answer: OperatorResult};

export type OrderFailure = 'not_sent' | 'refused' | 'failed' | 'lost';

/** Sends an order to a target; fails after `timeoutMs`. */
export type OrderSender = (
  order: LoadOrder,
  announcement: Announcement,
  timeoutMs: number,
) => Promise<Result<void, OrderFailure>>;

export type StatusResponse =
  NotLeader | {readonly kind: 'ok'; readonly status: ClusterStatus};
export type ConfigResponse =
  NotLeader | {readonly kind: 'ok'; readonly view: ConfigView};

export type BootstrapResponse =
  | {readonly kind: 'ok'; readonly replica: string}
  | {readonly kind: 'refused'; readonly reason: string};

export type {SubmitError};

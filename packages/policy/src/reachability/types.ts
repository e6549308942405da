/** Types of what a process knows of its links to targets. */
import type {TargetId} from '@samphirefield/core';

/** Why a target is taken, or suspected, to be unreachable. */
export type UnreachableReason =
  /** It refuses new connections; kept ones may go on. */
  | 'refused'
  /** A new connection got no response. */
  | 'timeout'
  /** A request got no byte of a response; this is a suspicion only. */
  | 'silent';

/** What is known of the connections to a target that are kept open. */
export interface KeptConnections {
  /** Whether one of them may take a request. */
  readonly hasIdle: boolean;
  /** When one of them received a byte last; undefined: not lately. */
  readonly lastReceivedAtMs: number | undefined;
}

/** Failures in a row to connect to one start of a target. */
export interface ReachabilityRow {
  readonly bornMs: number;
  readonly sinceMs: number;
  readonly reason: UnreachableReason;
  /** 0: the start is only suspected. */
  readonly failures: number;
  readonly failedProbes: number;
  readonly probeAtMs: number;
  readonly isProbing: boolean;
  /** Kept connections work only if they received something after this. */
  readonly keptAfterMs: number;
}

/** Starts of targets that are suspected or unreachable. */
export type ReachabilityTable = Map<TargetId, ReachabilityRow>;

/**
 * Types of relayed requests: an entry that reaches no target of a service sends
 * a caller's request through another entry.
 */
import type {InstanceId, ZoneId} from '@samphirefield/core';

/** Where an entry accepts relayed requests. */
export interface RelayEndpoint {
  readonly host: string;
  readonly port: number;
  /**
   * Admits a relayed request. Only the control group and the entries that it
   * names as peers learn it; it differs with each start of the process.
   */
  readonly token: string;
}

/** Another entry through which requests can be relayed. */
export interface RelayPeer extends RelayEndpoint {
  readonly instance: InstanceId;
  readonly zone: ZoneId;
}

/** What a request that another entry relays says of its hop. */
export interface RelayedOrigin {
  /** Names the hop in the log lines of both entries. */
  readonly relayId: string;
  /** The entry that has the caller. */
  readonly entry: string;
  /**
   * Index of the state that the relaying entry follows. An entry with an older
   * one could use a route or a key that is no longer in force.
   */
  readonly stateIndex: number;
  /** Time that the caller still waits. */
  readonly remainingMs: number;
}

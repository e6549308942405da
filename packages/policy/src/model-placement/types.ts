/** Types of model placement: which targets load which models, and the orders. */
import type {ModelId, ServiceId, TargetId} from '@samphirefield/core';

/** A model and the number of a service's targets that load it; 0 means all. */
export interface DesiredModel {
  readonly model: ModelId;
  readonly version: string;
  readonly service: ServiceId;
  readonly targets: number;
}

/** The part of a target's state that placement depends on. */
export interface PlaceableTarget {
  readonly target: TargetId;
  readonly incarnation: string;
  readonly service: ServiceId;
  readonly isUsable: boolean;
  readonly running: number;
  readonly models: ReadonlyArray<{
    readonly model: string;
    readonly version: string;
  }>;
  /** When the target's latest announcement was received. */
  readonly lastSeenAtMs: number;
  /** Whether the target refuses old epochs and unknown senders. */
  readonly validatesOrders: boolean;
}

/** An order to one incarnation of a target to load a model. */
export interface LoadOrder {
  readonly target: TargetId;
  readonly incarnation: string;
  readonly model: ModelId;
  readonly version: string;
  /** Increases with every leader. */
  readonly epoch: number;
}

export interface IssuedOrder {
  readonly order: LoadOrder;
  readonly issuedAtMs: number;
}

export interface PlacementTable {
  readonly issued: Map<TargetId, IssuedOrder>;
  lastIssuedAtMs: number;
}

export interface PlacementTiming {
  readonly epoch: number;
  readonly leaderSinceMs: number;
  /** How long an earlier leader may still have assumed to hold its lease. */
  readonly previousLeaseMs: number;
  /** Longest time that an order can be in flight. */
  readonly orderInFlightMs: number;
  /** Least time between two loads, from the rate of the weight store. */
  readonly loadIntervalMs: number;
  readonly maxConcurrentLoads: number;
  /** After this time a load that has not completed may be ordered again. */
  readonly loadTimeoutMs: number;
}

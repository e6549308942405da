/** Which targets should hold which models, and the orders that make it so. */
import type {ModelId, ServiceId, TargetId} from '@samphirefield/core';

/** A model that a service should hold on so many targets; 0 means on all. */
export interface DesiredModel {
  readonly model: ModelId;
  readonly version: string;
  readonly service: ServiceId;
  readonly targets: number;
}

/** A target as the planner needs it. */
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
  /** When its state was last heard. */
  readonly lastSeenAtMs: number;
  /** Whether it refuses an order with an old epoch, and strangers. */
  readonly validatesOrders: boolean;
}

export interface LoadOrder {
  readonly target: TargetId;
  readonly incarnation: string;
  readonly model: ModelId;
  readonly version: string;
  /** Orders of a later leader carry a larger one. */
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
  /** How long an earlier leader may have believed to lead. */
  readonly previousLeaseMs: number;
  /** Longest time that an order can be under way. */
  readonly orderInFlightMs: number;
  /** Least time between two loads: the weight store's rate. */
  readonly loadIntervalMs: number;
  readonly maxConcurrentLoads: number;
  /** After this a load that was not seen to end may be ordered again. */
  readonly loadTimeoutMs: number;
}

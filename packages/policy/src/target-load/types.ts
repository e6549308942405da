/** Types of the load and the speed of targets. */
import type {ServiceId, TargetId} from '@samphirefield/core';

/** What a target states of its load in the head of a response. */
export interface LoadStatement {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /**
   * How long work takes on the target's machine now, in per cent of the usual;
   * undefined if the target does not state it.
   */
  readonly pacePct: number | undefined;
}

/** One value of a head: its fields as numbers, NaN where one is no integer. */
export type LoadFields = readonly number[];

export interface StatedLoad {
  /** When the statement was received, on the clock of this process. */
  readonly atMs: number;
  /**
   * Requests on the target that the dispatcher has no record of, as a share of
   * the target's slots.
   */
  readonly otherLoad: number;
  /** The same above the mean of the service's targets at that time. */
  readonly excessLoad: number;
  /** Duration of work in multiples of the usual. */
  readonly pace: number;
  /** The pace without short slowdowns. */
  readonly steadyPace: number;
}

/**
 * How long work took on the target, in multiples of what it took on the other
 * targets of the service.
 */
export interface MeasuredPace {
  readonly atMs: number;
  /** Mean of the logarithms of the samples. */
  readonly meanLog: number;
  /** Weight of the samples; decays. */
  readonly weight: number;
}

export interface TargetLoadRow {
  readonly bornMs: number;
  readonly stated: StatedLoad | undefined;
  readonly measured: MeasuredPace | undefined;
  /** What was computed of the row last; it decays slowly. */
  estimate: RowEstimate | undefined;
}

/** What a row tells of its target. */
export interface RowEstimate {
  readonly atMs: number;
  readonly steadyPace: number;
  /** The present slowdown in multiples of the steady pace. */
  readonly slowdown: number;
  /** Weight of the statement, from 1 when it was received down to 0. */
  readonly weight: number;
}

/** The mean duration of one kind of work on all targets of a service. */
export interface Baseline {
  meanLog: number;
  weight: number;
}

/** What the targets of a service stated. */
export interface PacedService {
  /** When one of them last stated its pace. */
  atMs: number;
  /** Decaying mean of what they stated as `otherLoad`. */
  meanLoad: number;
}

export interface TargetLoadTable {
  readonly rows: Map<TargetId, TargetLoadRow>;
  readonly services: Map<ServiceId, PacedService>;
}

/** A row on its way from an entry to the leader. */
export interface LoadReport {
  readonly target: TargetId;
  readonly bornMs: number;
  /** How long ago the statement was received; undefined: there is none. */
  readonly ageMs: number | undefined;
  readonly otherLoad: number;
  readonly pace: number;
  /** Samples measured since the last report, and their mean logarithm. */
  readonly samples: number;
  readonly meanLog: number;
}

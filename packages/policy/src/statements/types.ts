/** Types of what targets state of themselves in their responses. */
import type {TargetId} from '@samphirefield/core';
import type {TargetStart} from '../quarantine/index.js';

/** What a target states in one response. */
export interface TargetStatement {
  /**
   * Requests a second that it takes from all entries together; undefined: any
   * number.
   */
  readonly limitPerS: number | undefined;
  /** Whether it leaves: it is to get no more requests. */
  readonly isLeaving: boolean;
  /**
   * The target ends if it has to reject more requests a second; missing: it
   * rejects any number. Daemons of earlier builds leave it out.
   */
  readonly maxRejectionsPerS?: number;
}

/** What the heads of responses name, as far as it can be meant. */
export interface HeadValues {
  /** Every limit named; NaN where it is no number. */
  readonly limitsPerS: readonly number[];
  /** Every value that says whether the target leaves; NaN as above. */
  readonly leaving: readonly number[];
  /** Every time named for which it wants nothing; NaN as above. */
  readonly pausesS: readonly number[];
  /** Every number of rejections a second named; NaN as above. */
  readonly maxRejectionsPerS?: readonly number[];
}

export interface ReadStatement {
  readonly statement: TargetStatement;
  /** For how long the target wants nothing from the receiver. */
  readonly pauseMs: number | undefined;
}

/** A statement on its way between daemons. */
export interface StatementReport {
  readonly start: TargetStart;
  readonly statement: TargetStatement;
  /** How long ago the statement was received. */
  readonly ageMs: number;
}

export interface StatementRow {
  readonly bornMs: number;
  readonly statement: TargetStatement;
  /** When the statement was received, on the clock of this process. */
  readonly statedAtMs: number;
}

/** The newest statement of each target. */
export type StatementTable = Map<TargetId, StatementRow>;

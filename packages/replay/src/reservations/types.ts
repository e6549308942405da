/** What a played scenario records of each request. */
import type {WorkspaceId} from '@samphirefield/core';
import type {RequestClass} from './scenario.js';

/** What became of a caller's request. */
export type Outcome = 'in_time' | 'late' | 'refused' | 'lost';

export interface PlayedRequest {
  readonly requestClass: RequestClass;
  readonly workspace: WorkspaceId | undefined;
  /** Prompt and output. */
  tokens: number;
  readonly askedAtMs: number;
  outcome: Outcome;
  firstAtMs: number | undefined;
  /** From the first attempt to the grant of the last. */
  grantedAfterMs: number | undefined;
  /** Attempts of the caller, including the first. */
  attempts: number;
  /** How long the first attempt waited for its refusal; undefined: none. */
  refusedAfterMs: number | undefined;
}

export interface PlayFigures {
  readonly requests: readonly PlayedRequest[];
  readonly preemptions: number;
}

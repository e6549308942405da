/**
 * The ledger of requests that must run at most once.
 *
 * A claim is committed before the first byte of the request is sent to a
 * target. It ends as done, as released (the request provably did not run) or
 * as unknown, in which case the request is never run again.
 */
import type {ClaimId, Fingerprint} from '@samphirefield/core';

/** The response of a plain service, stored for repeated requests. */
export interface StoredResponse {
  readonly status: number;
  readonly contentType: string;
  /** Base64 of the body. */
  readonly bodyBase64: string;
}

export type ClaimState = 'claimed' | 'done' | 'released' | 'unknown';

export interface LedgerRecord {
  readonly claimId: ClaimId;
  readonly fingerprint: Fingerprint;
  /** Incarnation of the entry that holds the claim. */
  readonly holder: string;
  readonly state: ClaimState;
  /**
   * Undefined while in progress, and once dropped to stay within
   * `maxAnswerBytes`.
   */
  readonly answer: StoredResponse | undefined;
  /**
   * The latest released claims of this key; late copies of their commands are
   * refused.
   */
  readonly released: readonly ClaimId[];
  readonly updatedAtMs: number;
}

/**
 * Limits of the ledger, sent in the commands so that all voters apply the same
 * ones.
 */
export interface LedgerBounds {
  readonly maxRecords: number;
  readonly maxAnswerBytes: number;
  readonly retentionMs: number;
}

export interface ClaimCommand {
  readonly kind: 'claim';
  readonly key: string;
  readonly claimId: ClaimId;
  readonly fingerprint: Fingerprint;
  readonly holder: string;
  readonly atMs: number;
  readonly bounds: LedgerBounds;
}

export interface CompleteCommand {
  readonly kind: 'complete';
  readonly key: string;
  readonly claimId: ClaimId;
  readonly answer: StoredResponse | undefined;
  readonly atMs: number;
  readonly bounds: LedgerBounds;
}

export interface ReleaseCommand {
  readonly kind: 'release';
  readonly key: string;
  readonly claimId: ClaimId;
  readonly holder: string;
  readonly atMs: number;
}

/**
 * Marks a claim as unknown because its holder can no longer learn the outcome.
 */
export interface ForgetCommand {
  readonly kind: 'forget';
  readonly key: string;
  readonly claimId: ClaimId;
  readonly atMs: number;
}

/** Marks all open claims of an entry that is gone as unknown. */
export interface AbandonCommand {
  readonly kind: 'abandon';
  readonly holder: string;
  readonly atMs: number;
}

export type LedgerCommand =
  | ClaimCommand
  | CompleteCommand
  | ReleaseCommand
  | ForgetCommand
  | AbandonCommand;

export type LedgerResult =
  /** The requester holds the claim and may send the request once. */
  | {readonly kind: 'granted'}
  | {readonly kind: 'in_progress'}
  | {readonly kind: 'done'; readonly answer: StoredResponse | undefined}
  | {readonly kind: 'unknown'}
  /** The key belongs to a request with another fingerprint. */
  | {readonly kind: 'mismatch'}
  /** This claim was released before and must not be used again. */
  | {readonly kind: 'released'}
  | {readonly kind: 'full'}
  | {readonly kind: 'recorded'};

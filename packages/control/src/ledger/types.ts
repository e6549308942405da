/**
 * The ledger of requests that may not be repeated.
 *
 * A claim is committed before a byte leaves for the target. It ends as done,
 * as released (truly not run) or as unknown, which is never run again.
 */
import type {ClaimId, Fingerprint} from '@samphirefield/core';

/** The answer of a plain service, kept for repeats. */
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
  /** The entry's incarnation that holds the claim. */
  readonly holder: string;
  readonly state: ClaimState;
  /** Missing while in progress, and after the answer was dropped for room. */
  readonly answer: StoredResponse | undefined;
  /** The latest claims of this key that were given back; late copies of them are refused. */
  readonly released: readonly ClaimId[];
  readonly updatedAtMs: number;
}

/** Bounds travel in the commands, so that all voters apply the same ones. */
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

/** The outcome of one claim can no longer be learned by its holder. */
export interface ForgetCommand {
  readonly kind: 'forget';
  readonly key: string;
  readonly claimId: ClaimId;
  readonly atMs: number;
}

/** All claims of an entry that is gone become unknown. */
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
  /** The asker holds the claim and may send the request, once. */
  | {readonly kind: 'granted'}
  | {readonly kind: 'in_progress'}
  | {readonly kind: 'done'; readonly answer: StoredResponse | undefined}
  | {readonly kind: 'unknown'}
  /** The same key came with another body. */
  | {readonly kind: 'mismatch'}
  /** This very claim was given back before; it may not be used any more. */
  | {readonly kind: 'released'}
  | {readonly kind: 'full'}
  | {readonly kind: 'recorded'};

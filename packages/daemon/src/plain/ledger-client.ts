/**
 * The entry's client of the ledger: claims a request before it is sent, and
 * records its outcome, with retries for up to `RECORD_TIMEOUT_MS`.
 */
import {randomUUID} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import {err, ok, type Result} from 'neverthrow';
import {
  claimId,
  type ClaimId,
  type Fingerprint,
  type Settings,
} from '@samphirefield/core';
import type {
  LedgerResult,
  LedgerBounds,
  LedgerCommand,
  StoredResponse,
} from '@samphirefield/control';
import type {HolderId} from '@samphirefield/policy';
import type {Clock} from '../clock/index.js';
import type {ControlClient} from '../entry/index.js';
import type {ApplyResponse} from '../voter/index.js';

export type LedgerError =
  /** The command may or may not have been applied. */
  {readonly kind: 'ledger_unreachable'};

export interface LedgerClientOptions {
  readonly control: ControlClient;
  readonly clock: Clock;
  readonly holder: HolderId;
  readonly limits: Settings['limits'];
}

const CLAIM_TIMEOUT_MS = 4_000;
const RECORD_TIMEOUT_MS = 120_000;
const MAX_FULL_SIZE_RESPONSES = 256;

/** A claim that this entry holds. */
export interface HeldClaim {
  readonly key: string;
  readonly claimId: ClaimId;
}

export class LedgerClient {
  private pendingCount = 0;

  constructor(private readonly options: LedgerClientOptions) {}

  /** Number of outcomes whose commands have not finished yet. */
  get pendingRecords(): number {
    return this.pendingCount;
  }

  newClaim(key: string): HeldClaim {
    return {key, claimId: claimId(randomUUID())};
  }

  /** Commits the claim; resends carry the same id, so it is granted once. */
  claim(
    held: HeldClaim,
    fingerprint: Fingerprint,
  ): Promise<Result<LedgerResult, LedgerError>> {
    const {holder, clock} = this.options;
    const command: LedgerCommand = {
      kind: 'claim',
      ...held,
      fingerprint,
      holder,
      atMs: clock.wallMs(),
      bounds: this.bounds(),
    };
    return this.apply(command, CLAIM_TIMEOUT_MS);
  }

  async peek(
    key: string,
    fingerprint: Fingerprint,
  ): Promise<Result<LedgerResult | undefined, LedgerError>> {
    const {control, clock} = this.options;
    const deadlineMs = clock.nowMs() + CLAIM_TIMEOUT_MS;
    const response = await control.callLeader<
      ApplyResponse<LedgerResult | undefined>
    >('ledger.peek', {key, fingerprint}, deadlineMs);
    if (response.isErr() || response.value.kind !== 'applied')
      return err({kind: 'ledger_unreachable'});
    return ok(response.value.answer);
  }

  /**
   * Records the response in the background, with retries for up to
   * `RECORD_TIMEOUT_MS`; undefined when the response is not stored.
   */
  complete(held: HeldClaim, response: StoredResponse | undefined): void {
    const atMs = this.options.clock.wallMs();
    this.recordInBackground({
      kind: 'complete',
      ...held,
      answer: response,
      atMs,
      bounds: this.bounds(),
    });
  }

  /** Records in the background that the outcome of the claim is unknown. */
  markUnknown(held: HeldClaim): void {
    this.recordInBackground({
      kind: 'forget',
      ...held,
      atMs: this.options.clock.wallMs(),
    });
  }

  /**
   * Returns true once the release is committed: only then may the caller be sent
   * "not run". Otherwise retries the release in the background.
   */
  async release(held: HeldClaim): Promise<boolean> {
    const {holder, clock} = this.options;
    const command: LedgerCommand = {
      kind: 'release',
      ...held,
      holder,
      atMs: clock.wallMs(),
    };
    const result = await this.apply(command, CLAIM_TIMEOUT_MS);
    if (result.isOk() && result.value.kind === 'recorded') return true;
    this.recordInBackground(command);
    return false;
  }

  private bounds(): LedgerBounds {
    const {limits} = this.options;
    return {
      maxRecords: limits.ledger_records,
      maxAnswerBytes: limits.stored_answer_bytes * MAX_FULL_SIZE_RESPONSES,
      retentionMs: limits.ledger_retention_ms,
    };
  }

  private recordInBackground(command: LedgerCommand): void {
    this.pendingCount += 1;
    void this.apply(command, RECORD_TIMEOUT_MS).finally(() => {
      this.pendingCount -= 1;
    });
  }

  private async apply(
    command: LedgerCommand,
    timeoutMs: number,
  ): Promise<Result<LedgerResult, LedgerError>> {
    const {control, clock} = this.options;
    const RETRY_DELAY_MS = 50;
    const deadlineMs = clock.nowMs() + timeoutMs;
    while (clock.nowMs() < deadlineMs) {
      const response = await control.callLeader<ApplyResponse<LedgerResult>>(
        'ledger.apply',
        command,
        deadlineMs,
      );
      if (response.isErr()) break;
      if (response.value.kind === 'applied') return ok(response.value.answer);
      // The outcome is unknown; the command is idempotent and can be sent again.
      await delay(RETRY_DELAY_MS);
    }
    return err({kind: 'ledger_unreachable'});
  }
}

/**
 * The entry's side of the ledger: claims a request before it is sent, and
 * records how it ended, for as long as it takes.
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
  /** The claim may or may not be in the ledger. */
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

  /** Outcomes that are still on their way to the ledger. */
  get pendingRecords(): number {
    return this.pendingCount;
  }

  newClaim(key: string): HeldClaim {
    return {key, claimId: claimId(randomUUID())};
  }

  /** Commits the claim; resends are the same claim, so they grant it once. */
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
    const answer = await control.callLeader<
      ApplyResponse<LedgerResult | undefined>
    >('ledger.peek', {key, fingerprint}, deadlineMs);
    if (answer.isErr() || answer.value.kind !== 'applied')
      return err({kind: 'ledger_unreachable'});
    return ok(answer.value.answer);
  }

  /** Records the answer in the background, trying for a long time. */
  complete(held: HeldClaim, answer: StoredResponse | undefined): void {
    const atMs = this.options.clock.wallMs();
    this.recordInBackground({
      kind: 'complete',
      ...held,
      answer,
      atMs,
      bounds: this.bounds(),
    });
  }

  markUnknown(held: HeldClaim): void {
    this.recordInBackground({
      kind: 'forget',
      ...held,
      atMs: this.options.clock.wallMs(),
    });
  }

  /** True once the release is committed: only then is "not run" said. */
  async release(held: HeldClaim): Promise<boolean> {
    const {holder, clock} = this.options;
    const command: LedgerCommand = {
      kind: 'release',
      ...held,
      holder,
      atMs: clock.wallMs(),
    };
    const answer = await this.apply(command, CLAIM_TIMEOUT_MS);
    if (answer.isOk() && answer.value.kind === 'recorded') return true;
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
    forMs: number,
  ): Promise<Result<LedgerResult, LedgerError>> {
    const {control, clock} = this.options;
    const PAUSE_MS = 50;
    const deadlineMs = clock.nowMs() + forMs;
    while (clock.nowMs() < deadlineMs) {
      const answer = await control.callLeader<ApplyResponse<LedgerResult>>(
        'ledger.apply',
        command,
        deadlineMs,
      );
      if (answer.isErr()) break;
      if (answer.value.kind === 'applied') return ok(answer.value.answer);
      // The outcome is unknown; the same command again is harmless.
      await delay(PAUSE_MS);
    }
    return err({kind: 'ledger_unreachable'});
  }
}

/**
 * Requests that must run at most once. Each is claimed in the ledger before any
 * byte of it is sent; a repeat gets its response from the ledger.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {err, ok, type Result} from 'neverthrow';
import type {LedgerResult, StoredResponse} from '@samphirefield/control';
import type {GenerationDeps} from '../generations/index.js';
import {notRun, type ApiError} from '../http/index.js';
import {callPlain} from './call-plain.js';
import type {LedgerClient, HeldClaim} from './ledger-client.js';
import type {PlainResponse, PlainRequest} from './types.js';

const POLL_MS = 100;

const UNKNOWN_OUTCOME: ApiError = {
  status: 502,
  code: 'unknown_outcome',
  message: 'the outcome of this request is not known; it will not be run again',
  outcome: 'unknown',
};
const STILL_RUNNING: ApiError = {
  status: 504,
  code: 'in_progress',
  message: 'the first request with this key is still in progress',
  outcome: 'unknown',
};
const KEY_REUSED: ApiError = notRun(
  422,
  'key_reused',
  'this Idempotency-Key was used for another request',
);
const LEDGER_FULL: ApiError = notRun(
  503,
  'ledger_full',
  'the ledger has no free capacity for another request',
  60,
);
const RESPONSE_DROPPED: ApiError = {
  status: 409,
  code: 'answer_dropped',
  message: 'the request completed, but its response is no longer stored',
  outcome: 'failed',
};
const LEDGER_UNREACHABLE: ApiError = notRun(
  503,
  'ledger_unreachable',
  'the ledger cannot be reached',
  2,
);

export interface AtMostOnceOptions {
  readonly deps: GenerationDeps;
  readonly ledger: LedgerClient;
  readonly maxStoredBytes: number;
}

function ledgerKey(request: PlainRequest): string {
  const {workspace, service, idempotencyKey} = request;
  return `${workspace.workspace} ${service.service} ${idempotencyKey}`;
}

function toStored(
  response: PlainResponse,
  maxBytes: number,
): StoredResponse | undefined {
  if (response.body.length > maxBytes) return undefined;
  const {status, contentType, body} = response;
  return {status, contentType, bodyBase64: body.toString('base64')};
}

function fromStored(stored: StoredResponse): PlainResponse {
  const {status, contentType, bodyBase64} = stored;
  return {status, contentType, body: Buffer.from(bodyBase64, 'base64')};
}

class AtMostOnceCall {
  private readonly held: HeldClaim;
  private hasClaimed = false;
  /**
   * Set when another request claimed the key first: its outcome is also the
   * outcome of this request.
   */
  private otherResult: LedgerResult | undefined;

  constructor(
    private readonly options: AtMostOnceOptions,
    private readonly request: PlainRequest,
    private readonly callerDisconnected: AbortSignal,
  ) {
    this.held = options.ledger.newClaim(ledgerKey(request));
  }

  async run(): Promise<Result<PlainResponse, ApiError>> {
    const existing = await this.options.ledger.peek(
      this.held.key,
      this.request.fingerprint,
    );
    if (existing.isErr()) return err(LEDGER_UNREACHABLE);
    if (existing.value && existing.value.kind !== 'released') {
      return this.awaitOther(existing.value);
    }
    const result = await callPlain(
      this.options.deps,
      this.request,
      {
        mayRepeat: false,
        mayStart: () => this.hasClaimed,
        beforeSend: () => this.claimOnce(),
      },
      this.callerDisconnected,
    );
    if (this.otherResult) return this.awaitOther(this.otherResult);
    if (result.isOk()) return this.complete(result.value);
    return this.handleError(result.error);
  }

  /** Commits the claim before the first attempt; later attempts use the same one. */
  private async claimOnce(): Promise<Result<void, ApiError>> {
    if (this.hasClaimed) return ok(undefined);
    const {ledger} = this.options;
    const claimed = await ledger.claim(this.held, this.request.fingerprint);
    if (claimed.isErr()) return err(LEDGER_UNREACHABLE);
    this.hasClaimed = claimed.value.kind === 'granted';
    if (this.hasClaimed) return ok(undefined);
    this.otherResult = claimed.value;
    return err(LEDGER_UNREACHABLE);
  }

  private complete(response: PlainResponse): Result<PlainResponse, ApiError> {
    const {ledger, maxStoredBytes} = this.options;
    ledger.complete(this.held, toStored(response, maxStoredBytes));
    return ok(response);
  }

  /**
   * Returns "not run" only after the release of the claim is committed; otherwise
   * the outcome is unknown.
   */
  private async handleError(
    error: ApiError,
  ): Promise<Result<PlainResponse, ApiError>> {
    const {ledger} = this.options;
    const mayBeClaimed = this.hasClaimed || error === LEDGER_UNREACHABLE;
    if (error.outcome !== 'not_run') {
      ledger.markUnknown(this.held);
      return err(error);
    }
    if (!mayBeClaimed) return err(error);
    const isReleased = await ledger.release(this.held);
    return err(isReleased ? error : UNKNOWN_OUTCOME);
  }

  /** Polls the ledger until the other request with this key has an outcome. */
  private async awaitOther(
    first: LedgerResult,
  ): Promise<Result<PlainResponse, ApiError>> {
    const {ledger, deps} = this.options;
    const deadlineMs = deps.clock.nowMs() + deps.timing.plain_timeout_ms;
    let result: LedgerResult | undefined = first;
    while (result?.kind === 'in_progress' || result?.kind === 'granted') {
      if (deps.clock.nowMs() > deadlineMs || this.callerDisconnected.aborted)
        return err(STILL_RUNNING);
      await delay(POLL_MS);
      const peeked = await ledger.peek(this.held.key, this.request.fingerprint);
      if (peeked.isOk()) result = peeked.value;
    }
    return this.toOutcome(result);
  }

  private toOutcome(
    result: LedgerResult | undefined,
  ): Result<PlainResponse, ApiError> {
    switch (result?.kind) {
      case 'done':
        return result.answer
          ? ok(fromStored(result.answer))
          : err(RESPONSE_DROPPED);
      case 'mismatch':
        return err(KEY_REUSED);
      case 'full':
        return err(LEDGER_FULL);
      case 'unknown':
        return err(UNKNOWN_OUTCOME);
      default:
        // The first request was released: neither it nor this one ran.
        return err(
          notRun(
            503,
            'not_run',
            'the first request with this key did not run; send it again',
            1,
          ),
        );
    }
  }
}

export function callAtMostOnce(
  options: AtMostOnceOptions,
  request: PlainRequest,
  callerDisconnected: AbortSignal,
): Promise<Result<PlainResponse, ApiError>> {
  return new AtMostOnceCall(options, request, callerDisconnected).run();
}

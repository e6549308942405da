/**
 * Requests that may not be repeated: claimed in the ledger before a byte
 * leaves, answered from the ledger when they come again.
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
  'this Idempotency-Key came with another request',
);
const LEDGER_FULL: ApiError = notRun(
  503,
  'ledger_full',
  'the ledger has no room for another request',
  60,
);
const RESPONSE_DROPPED: ApiError = {
  status: 409,
  code: 'answer_dropped',
  message: 'the request ran to its end, but its answer is no longer kept',
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
  answer: PlainResponse,
  maxBytes: number,
): StoredResponse | undefined {
  if (answer.body.length > maxBytes) return undefined;
  const {status, contentType, body} = answer;
  return {status, contentType, bodyBase64: body.toString('base64')};
}

function fromStored(stored: StoredResponse): PlainResponse {
  const {status, contentType, bodyBase64} = stored;
  return {status, contentType, body: Buffer.from(bodyBase64, 'base64')};
}

class AtMostOnceCall {
  private readonly held: HeldClaim;
  private hasClaimed = false;
  /** Set when another request claimed the key first: its answer is ours too. */
  private otherResult: LedgerResult | undefined;

  constructor(
    private readonly options: AtMostOnceOptions,
    private readonly request: PlainRequest,
    private readonly callerDisconnected: AbortSignal,
  ) {
    this.held = options.ledger.newClaim(ledgerKey(request));
  }

  async run(): Promise<Result<PlainResponse, ApiError>> {
    const known = await this.options.ledger.peek(
      this.held.key,
      this.request.fingerprint,
    );
    if (known.isErr()) return err(LEDGER_UNREACHABLE);
    if (known.value && known.value.kind !== 'released') {
      return this.awaitOther(known.value);
    }
    const answer = await callPlain(
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
    if (answer.isOk()) return this.complete(answer.value);
    return this.handleError(answer.error);
  }

  /** Commits the claim before the first try; later tries go on under it. */
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

  private complete(answer: PlainResponse): Result<PlainResponse, ApiError> {
    const {ledger, maxStoredBytes} = this.options;
    ledger.complete(this.held, toStored(answer, maxStoredBytes));
    return ok(answer);
  }

  /** Releases durably before "not run" is said; otherwise the outcome is unknown. */
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

  private async awaitOther(
    first: LedgerResult,
  ): Promise<Result<PlainResponse, ApiError>> {
    const {ledger, deps} = this.options;
    const deadlineMs = deps.clock.nowMs() + deps.timing.plain_timeout_ms;
    let answer: LedgerResult | undefined = first;
    while (answer?.kind === 'in_progress' || answer?.kind === 'granted') {
      if (deps.clock.nowMs() > deadlineMs || this.callerDisconnected.aborted)
        return err(STILL_RUNNING);
      await delay(POLL_MS);
      const peeked = await ledger.peek(this.held.key, this.request.fingerprint);
      if (peeked.isOk()) answer = peeked.value;
    }
    return this.toOutcome(answer);
  }

  private toOutcome(
    answer: LedgerResult | undefined,
  ): Result<PlainResponse, ApiError> {
    switch (answer?.kind) {
      case 'done':
        return answer.answer
          ? ok(fromStored(answer.answer))
          : err(RESPONSE_DROPPED);
      case 'mismatch':
        return err(KEY_REUSED);
      case 'full':
        return err(LEDGER_FULL);
      case 'unknown':
        return err(UNKNOWN_OUTCOME);
      default:
        // The first request was released: it did not run, and neither did this.
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

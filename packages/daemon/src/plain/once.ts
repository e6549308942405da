/**
 * Requests that may not be repeated: claimed in the ledger before a byte
 * leaves, answered from the ledger when they come again.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {err, ok, type Result} from 'neverthrow';
import type {LedgerResult, StoredResponse} from '@samphirefield/control';
import type {GenerationDeps} from '../generations/index.js';
import {notRun, type ApiError} from '../http/index.js';
import {callPlain} from './call.js';
import type {Claims, HeldClaim} from './claims.js';
import type {PlainAnswer, PlainRequest} from './types.js';

const POLL_MS = 100;

const UNKNOWN: ApiError = {
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
const MISMATCH: ApiError = notRun(
  422,
  'key_reused',
  'this Idempotency-Key came with another request',
);
const FULL: ApiError = notRun(
  503,
  'ledger_full',
  'the ledger has no room for another request',
  60,
);
const DROPPED: ApiError = {
  status: 409,
  code: 'answer_dropped',
  message: 'the request ran to its end, but its answer is no longer kept',
  outcome: 'failed',
};
const LEDGER_DOWN: ApiError = notRun(
  503,
  'ledger_unreachable',
  'the ledger cannot be reached',
  2,
);

export interface OnceOptions {
  readonly deps: GenerationDeps;
  readonly claims: Claims;
  readonly maxStoredBytes: number;
}

function ledgerKey(request: PlainRequest): string {
  const {workspace, service, idempotencyKey} = request;
  return `${workspace.workspace} ${service.service} ${idempotencyKey}`;
}

function toStored(
  answer: PlainAnswer,
  maxBytes: number,
): StoredResponse | undefined {
  if (answer.body.length > maxBytes) return undefined;
  const {status, contentType, body} = answer;
  return {status, contentType, bodyBase64: body.toString('base64')};
}

function fromStored(stored: StoredResponse): PlainAnswer {
  const {status, contentType, bodyBase64} = stored;
  return {status, contentType, body: Buffer.from(bodyBase64, 'base64')};
}

class OnceCall {
  private readonly held: HeldClaim;
  private hasClaimed = false;
  /** Set when another request claimed the key first: its answer is ours too. */
  private otherAnswer: LedgerResult | undefined;

  constructor(
    private readonly options: OnceOptions,
    private readonly request: PlainRequest,
    private readonly callerLeft: AbortSignal,
  ) {
    this.held = options.claims.newClaim(ledgerKey(request));
  }

  async run(): Promise<Result<PlainAnswer, ApiError>> {
    const known = await this.options.claims.peek(
      this.held.key,
      this.request.fingerprint,
    );
    if (known.isErr()) return err(LEDGER_DOWN);
    if (known.value && known.value.kind !== 'released') {
      return this.fromLedger(known.value);
    }
    const answer = await callPlain(
      this.options.deps,
      this.request,
      {
        mayRepeat: false,
        mayStart: () => this.hasClaimed,
        beforeSend: () => this.claimFirst(),
      },
      this.callerLeft,
    );
    if (this.otherAnswer) return this.fromLedger(this.otherAnswer);
    if (answer.isOk()) return this.complete(answer.value);
    return this.end(answer.error);
  }

  /** Commits the claim before the first try; later tries go on under it. */
  private async claimFirst(): Promise<Result<void, ApiError>> {
    if (this.hasClaimed) return ok(undefined);
    const {claims} = this.options;
    const claimed = await claims.claim(this.held, this.request.fingerprint);
    if (claimed.isErr()) return err(LEDGER_DOWN);
    this.hasClaimed = claimed.value.kind === 'granted';
    if (this.hasClaimed) return ok(undefined);
    this.otherAnswer = claimed.value;
    return err(LEDGER_DOWN);
  }

  private complete(answer: PlainAnswer): Result<PlainAnswer, ApiError> {
    const {claims, maxStoredBytes} = this.options;
    claims.complete(this.held, toStored(answer, maxStoredBytes));
    return ok(answer);
  }

  /** Releases durably before "not run" is said; otherwise the outcome is unknown. */
  private async end(error: ApiError): Promise<Result<PlainAnswer, ApiError>> {
    const {claims} = this.options;
    const mayBeClaimed = this.hasClaimed || error === LEDGER_DOWN;
    if (error.outcome !== 'not_run') {
      claims.forget(this.held);
      return err(error);
    }
    if (!mayBeClaimed) return err(error);
    const isReleased = await claims.release(this.held);
    return err(isReleased ? error : UNKNOWN);
  }

  private async fromLedger(
    first: LedgerResult,
  ): Promise<Result<PlainAnswer, ApiError>> {
    const {claims, deps} = this.options;
    const deadlineMs = deps.clock.nowMs() + deps.timing.plain_timeout_ms;
    let answer: LedgerResult | undefined = first;
    while (answer?.kind === 'in_progress' || answer?.kind === 'granted') {
      if (deps.clock.nowMs() > deadlineMs || this.callerLeft.aborted)
        return err(STILL_RUNNING);
      await delay(POLL_MS);
      const peeked = await claims.peek(this.held.key, this.request.fingerprint);
      if (peeked.isOk()) answer = peeked.value;
    }
    return this.settle(answer);
  }

  private settle(
    answer: LedgerResult | undefined,
  ): Result<PlainAnswer, ApiError> {
    switch (answer?.kind) {
      case 'done':
        return answer.answer ? ok(fromStored(answer.answer)) : err(DROPPED);
      case 'mismatch':
        return err(MISMATCH);
      case 'full':
        return err(FULL);
      case 'unknown':
        return err(UNKNOWN);
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

export function callOnce(
  options: OnceOptions,
  request: PlainRequest,
  callerLeft: AbortSignal,
): Promise<Result<PlainAnswer, ApiError>> {
  return new OnceCall(options, request, callerLeft).run();
}

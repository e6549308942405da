/** Runs one call to a plain service: admission, attempts, complete response. */
import {err, ok, type Result} from 'neverthrow';
import type {TargetId} from '@samphirefield/core';
import {
  decideAfterFailure,
  earnRetry,
  spendRetry,
  type AttemptFailure,
} from '@samphirefield/policy';
import {
  hasViewLease,
  recordTargetCrash,
  recordRunSuccess,
  avoidTarget,
} from '../entry/index.js';
import {
  addressOf,
  toApiError,
  type GenerationDeps,
} from '../generations/index.js';
import {notRun, type ApiError} from '../http/index.js';
import type {Admission} from '../scheduler/index.js';
import {readFully, type TargetError} from '../targets/index.js';
import type {PlainResponse, PlainRequest} from './types.js';

const MAX_ATTEMPTS = 3;
const AVOID_TARGET_MS = 2_000;
export const MAX_RESPONSE_BYTES = 16_777_216;

export interface PlainCallOptions {
  readonly mayRepeat: boolean;
  /** Runs after admission, right before sending; an error ends the call. */
  readonly beforeSend: () => Promise<Result<void, ApiError>>;
  /** Whether the request may still be sent; called right before its first byte. */
  readonly mayStart: () => boolean;
}

class PlainCall {
  private readonly excluded = new Set<TargetId>();
  private attemptsLeft = MAX_ATTEMPTS;
  private mayHaveRun = false;

  constructor(
    private readonly deps: GenerationDeps,
    private readonly request: PlainRequest,
    private readonly options: PlainCallOptions,
    private readonly callerDisconnected: AbortSignal,
  ) {}

  async run(): Promise<Result<PlainResponse, ApiError>> {
    earnRetry(this.deps.budget);
    for (;;) {
      const admitted = await this.admit();
      if (admitted.isErr()) return err(this.correctOutcome(admitted.error));
      this.attemptsLeft -= 1;
      const result = await this.runAttempt(admitted.value);
      if (result !== 'try_another') return result;
      this.excluded.add(admitted.value.target.view.target);
      this.deps.metrics.retries.inc({service: this.request.service.service});
    }
  }

  private async admit(): Promise<Result<Admission, ApiError>> {
    const {request} = this;
    const admitted = await this.deps.scheduler.acquire({
      requestId: request.id,
      workspace: request.workspace,
      service: request.service,
      model: '',
      modelVersion: '',
      fingerprint: request.fingerprint,
      promptParts: request.similar,
      prefix: '',
      promptTokens: 0,
      maxOutputTokens: 0,
      excluded: this.excluded,
      signal: this.callerDisconnected,
    });
    return admitted.mapErr(toApiError);
  }

  private async runAttempt(
    admission: Admission,
  ): Promise<Result<PlainResponse, ApiError> | 'try_another'> {
    let isFinished = false;
    try {
      const permitted = await this.options.beforeSend();
      if (permitted.isErr()) return err(permitted.error);
      const response = await this.send(admission);
      isFinished = response.isOk();
      if (response.isOk()) {
        const {fingerprint, similar} = this.request;
        recordRunSuccess(this.deps.tables, [fingerprint, ...similar]);
        return ok(response.value);
      }
      return await this.handleFailure(admission, response.error);
    } finally {
      this.deps.scheduler.release(admission, isFinished);
    }
  }

  private async send(
    admission: Admission,
  ): Promise<Result<PlainResponse, TargetError>> {
    const {deps, request, options} = this;
    const {tables, clock} = deps;
    const opened = await deps.targets.open(
      addressOf(admission),
      {
        method: request.method as 'POST',
        path: request.path,
        headers: {...request.headers, 'x-request-id': request.id},
        body: request.body.length > 0 ? request.body : undefined,
        mayStart: () =>
          hasViewLease(tables, clock.nowMs()) && options.mayStart(),
        firstByteTimeoutMs: deps.timing.plain_timeout_ms,
        // A request that must run at most once continues when its caller
        // disconnects.
        signal: options.mayRepeat
          ? this.callerDisconnected
          : new AbortController().signal,
      },
      options.mayRepeat ? 'reused' : 'fresh',
    );
    if (opened.isErr()) {
      const {error} = opened;
      if (error.kind !== 'failed') return err(error);
      // An error status of the service is forwarded to the caller.
      const body = Buffer.from(error.body);
      return ok({status: error.status, contentType: 'application/json', body});
    }
    const {status, headers, body} = opened.value;
    const contentType = String(
      headers['content-type'] ?? 'application/octet-stream',
    );
    const content = await readFully(body, MAX_RESPONSE_BYTES);
    if (content) return ok({status, contentType, body: content});
    const reason = 'the response was truncated or too large';
    return err({kind: 'lost', reason, hasResponded: true});
  }

  private async handleFailure(
    admission: Admission,
    error: TargetError,
  ): Promise<Result<PlainResponse, ApiError> | 'try_another'> {
    const {deps, request, options} = this;
    const failure: AttemptFailure = error.kind;
    if (failure === 'lost') {
      this.mayHaveRun = true;
      await this.recordCrashIfDead(admission);
    }
    avoidTarget(admission.target, deps.clock.nowMs() + AVOID_TARGET_MS);
    const next = decideAfterFailure({
      failure,
      isEngine: false,
      mayRepeat: options.mayRepeat,
      hasForwarded: false,
      hasGeneration: false,
      resumesLeft: 0,
      attemptsLeft: this.attemptsLeft,
      hasBudget: deps.budget.tokens >= 1,
    });
    deps.logger.warn('try_failed', {
      request: request.id,
      target: admission.run.target,
      failure,
      reason: error.kind === 'failed' ? `status ${error.status}` : error.reason,
      next: next.kind,
    });
    if (next.kind === 'try_another') {
      spendRetry(deps.budget);
      return 'try_another';
    }
    return err(
      this.correctOutcome(
        next.kind === 'answer_not_run' ? NO_TARGET_ACCEPTED : UNKNOWN_OUTCOME,
      ),
    );
  }

  private async recordCrashIfDead(admission: Admission): Promise<void> {
    const {deps} = this;
    if (await deps.targets.isAlive(addressOf(admission))) return;
    const {target, incarnation} = admission.run;
    recordTargetCrash(deps.tables, target, incarnation, deps.clock.nowMs());
    deps.logger.warn('target_died', {target, incarnation});
    deps.sendHeartbeatSoon();
  }

  /** Replaces "not run" by "unknown" once an attempt may have run. */
  private correctOutcome(error: ApiError): ApiError {
    if (!this.mayHaveRun || error.outcome !== 'not_run') return error;
    return {...error, outcome: 'unknown'};
  }
}

const NO_TARGET_ACCEPTED = notRun(
  503,
  'no_target',
  'no target accepted the request',
  1,
);
const UNKNOWN_OUTCOME: ApiError = {
  status: 502,
  code: 'unknown_outcome',
  message: 'the target was lost while it may have been running the request',
  outcome: 'unknown',
};

export function callPlain(
  deps: GenerationDeps,
  request: PlainRequest,
  options: PlainCallOptions,
  callerDisconnected: AbortSignal,
): Promise<Result<PlainResponse, ApiError>> {
  return new PlainCall(deps, request, options, callerDisconnected).run();
}

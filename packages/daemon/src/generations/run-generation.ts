/**
 * Runs one generation to its end: admits it, relays its events, resumes it on a
 * new connection when the connection breaks or stays silent, and starts it again
 * on another target only while no event was forwarded to the caller.
 */
import {setTimeout as delay} from 'node:timers/promises';
import type {
  GenerationId,
  Logger,
  Settings,
  TargetId,
} from '@samphirefield/core';
import {
  createSequencer,
  decideAfterFailure,
  earnRetry,
  recordLength,
  spendRetry,
  type RetryDecision,
  type RetryBudget,
  type SequencerState,
  type AttemptFailure,
} from '@samphirefield/policy';
import type {Clock} from '../clock/index.js';
import {
  hasViewLease,
  histogramFor,
  recordTargetCrash,
  recordRunSuccess,
  type EntryTables,
  avoidTarget,
} from '../entry/index.js';
import {notRun, type ApiError} from '../http/index.js';
import type {Metrics} from '../metrics/index.js';
import type {Admission, Scheduler} from '../scheduler/index.js';
import type {
  TargetResponse,
  TargetAddress,
  TargetClient,
  TargetError,
} from '../targets/index.js';
import {toApiError} from './admission-errors.js';
import {relayStream, type RelayEnd} from './stream-relay.js';
import type {ResponseSink, GenerationRequest} from './types.js';

/** Carries the hash of the prompt's prefix; targets use it in cache events. */
const PREFIX_HASH_HEADER = 'x-samphirefield-prefix';
const MAX_ATTEMPTS = 3;
const MAX_RESUMES = 4;
const AVOID_TARGET_MS = 2_000;
const RESUME_DELAY_MS = 100;

export interface GenerationDeps {
  readonly tables: EntryTables;
  readonly scheduler: Scheduler;
  readonly targets: TargetClient;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly timing: Settings['timing'];
  readonly budget: RetryBudget;
  /** Whether new requests are refused; requests accepted earlier are served. */
  readonly isDraining: () => boolean;
  /** Sends a heartbeat early, so that the leader learns of a crash soon. */
  readonly sendHeartbeatSoon: () => void;
}

export function addressOf(admission: Admission): TargetAddress {
  const {target, incarnation, address, port} = admission.target.view;
  return {target, incarnation, address, port};
}

function toAttemptFailure(error: TargetError): AttemptFailure {
  // An internal error of an engine: the request may have run, and another target
  // may run it again.
  if (error.kind === 'failed') return error.status >= 500 ? 'lost' : 'failed';
  return error.kind;
}

/** The decision after an attempt that cannot be resumed. */
type FinalDecision = Exclude<RetryDecision, {kind: 'resume'}>;

/** One attempt on one target. */
interface Attempt {
  readonly admission: Admission;
  readonly sequencer: SequencerState<string>;
  resumesLeft: number;
  targetError: TargetError | undefined;
}

class GenerationRun {
  private readonly excluded = new Set<TargetId>();
  private attemptsLeft = MAX_ATTEMPTS;
  /** Set once a target may have run any part: "not run" would be false then. */
  private mayHaveRun = false;

  constructor(
    private readonly deps: GenerationDeps,
    private readonly request: GenerationRequest,
    private readonly sink: ResponseSink,
    private readonly callerDisconnected: AbortSignal,
  ) {}

  async run(): Promise<void> {
    earnRetry(this.deps.budget);
    for (;;) {
      const admission = await this.admit();
      if (admission === undefined) return;
      this.attemptsLeft -= 1;
      const next = await this.runAttempt(admission);
      if (next === undefined) return;
      if (next.kind !== 'try_another') {
        this.sendFailure(next.kind);
        return;
      }
      this.excluded.add(admission.target.view.target);
      this.sink.reset();
      this.deps.metrics.retries.inc({service: this.request.service.service});
    }
  }

  private async admit(): Promise<Admission | undefined> {
    const {request} = this;
    const admitted = await this.deps.scheduler.acquire({
      requestId: request.id,
      workspace: request.workspace,
      service: request.service,
      model: request.model.model,
      modelVersion: request.model.version,
      fingerprint: request.fingerprint,
      promptParts: request.promptParts,
      prefix: request.prefixHash,
      promptTokens: request.promptTokens,
      maxOutputTokens: request.maxOutputTokens,
      excluded: this.excluded,
      signal: this.callerDisconnected,
    });
    if (admitted.isOk()) return admitted.value;
    const error = toApiError(admitted.error);
    this.sink.fail(this.mayHaveRun ? {...error, outcome: 'incomplete'} : error);
    return undefined;
  }

  /** Returns undefined when the response ended or the caller disconnected. */
  private async runAttempt(
    admission: Admission,
  ): Promise<FinalDecision | undefined> {
    const attempt: Attempt = {
      admission,
      sequencer: createSequencer<string>(undefined, 0),
      resumesLeft: MAX_RESUMES,
      targetError: undefined,
    };
    let isFinished = false;
    try {
      let opened = await this.open(admission);
      for (;;) {
        const end = await this.relayIfOpened(attempt, opened);
        if (end === 'done') {
          isFinished = true;
          this.complete(attempt);
          return undefined;
        }
        if (end === 'caller_left') {
          await this.handleDisconnect(attempt);
          return undefined;
        }
        const next = await this.decideNext(attempt, end);
        if (next.kind !== 'resume') return next;
        attempt.resumesLeft -= 1;
        opened = await this.reopen(attempt);
      }
    } finally {
      this.deps.scheduler.release(admission, isFinished);
    }
  }

  private open(admission: Admission) {
    const {deps, request} = this;
    return deps.targets.open(
      addressOf(admission),
      {
        method: 'POST',
        path: request.path,
        headers: {
          'content-type': 'application/json',
          accept: 'text/event-stream',
          'x-request-id': request.id,
          ...(request.prefixHash === ''
            ? {}
            : {[PREFIX_HASH_HEADER]: request.prefixHash}),
        },
        body: request.body,
        mayStart: () => this.mayStart(admission),
        // An engine sends the response head at once; tokens may take longer.
        firstByteTimeoutMs: deps.timing.stream_silence_ms,
        signal: this.callerDisconnected,
      },
      'reused',
    );
  }

  /**
   * Checked again right before the first byte is written: the process may have
   * been suspended since admission.
   */
  private mayStart(admission: Admission): boolean {
    const {tables, clock} = this.deps;
    const {view} = admission.target;
    const {config} = tables;
    const isOut =
      config.outZones.includes(view.zone) ||
      config.outTargets.includes(view.target);
    return hasViewLease(tables, clock.nowMs()) && !isOut;
  }

  private async reopen(attempt: Attempt) {
    const {deps} = this;
    const {sequencer, admission} = attempt;
    if (attempt.resumesLeft < MAX_RESUMES - 1) await delay(RESUME_DELAY_MS);
    deps.metrics.resumes.inc({service: this.request.service.service});
    return deps.targets.resume(
      addressOf(admission),
      sequencer.generation!,
      sequencer.nextSequence,
      deps.timing.stream_silence_ms,
      this.callerDisconnected,
    );
  }

  private async relayIfOpened(
    attempt: Attempt,
    opened: Awaited<ReturnType<TargetClient['open']>>,
  ): Promise<RelayEnd | AttemptFailure> {
    if (opened.isErr()) {
      attempt.targetError = opened.error;
      if (this.callerDisconnected.aborted) return 'caller_left';
      return toAttemptFailure(opened.error);
    }
    attempt.targetError = undefined;
    return this.relay(attempt, opened.value);
  }

  private relay(attempt: Attempt, response: TargetResponse): Promise<RelayEnd> {
    const {deps, request, sink} = this;
    const {admission, sequencer} = attempt;
    const {run} = admission;
    const announcedId = response.headers['x-generation-id'];
    if (typeof announcedId === 'string')
      sequencer.generation ??= announcedId as GenerationId;
    let hasBegun = false;
    return relayStream({
      body: response.body,
      sequencer,
      forward: events => {
        if (!hasBegun) this.beginResponse(attempt);
        hasBegun = true;
        run.generatedTokens += events.length;
        deps.metrics.countTokens(request.service.service, events.length);
        return sink.forward(events);
      },
      onDrain: resume => sink.onDrain(resume),
      silenceTimeoutMs: deps.timing.stream_silence_ms,
      callerDisconnected: this.callerDisconnected,
    });
  }

  private beginResponse(attempt: Attempt): void {
    const {target, incarnation} = attempt.admission.target.view;
    this.sink.begin({
      target,
      incarnation,
      generation: attempt.sequencer.generation!,
      workspace: this.request.workspace.workspace,
      service: this.request.service.service,
    });
  }

  private complete(attempt: Attempt): void {
    const {deps, request} = this;
    const {generatedTokens} = attempt.admission.run;
    const {service, workspace} = request;
    recordLength(
      histogramFor(deps.tables, service.service, workspace.workspace),
      generatedTokens,
    );
    const {fingerprint, promptParts} = request;
    recordRunSuccess(deps.tables, [fingerprint, ...promptParts]);
    this.sink.finish();
    deps.logger.info('answer_complete', {
      request: request.id,
      target: attempt.admission.run.target,
      tokens: generatedTokens,
    });
  }

  private async decideNext(
    attempt: Attempt,
    failure: AttemptFailure | RelayEnd,
  ): Promise<RetryDecision> {
    const {deps, request, sink} = this;
    const {admission, sequencer} = attempt;
    if (failure !== 'not_sent' && failure !== 'refused') this.mayHaveRun = true;
    const isNotFound =
      attempt.targetError?.kind === 'failed' &&
      attempt.targetError.status === 404;
    const isConnectionLost = failure === 'lost' || failure === 'silent';
    const isDead =
      isConnectionLost && !(await deps.targets.isAlive(addressOf(admission)));
    if (isDead) this.recordTargetCrash(admission);
    if (failure !== 'failed')
      avoidTarget(admission.target, deps.clock.nowMs() + AVOID_TARGET_MS);
    const isGenerationGone = isNotFound && sequencer.generation !== undefined;
    const next = decideAfterFailure({
      failure: isGenerationGone ? 'lost' : (failure as AttemptFailure),
      isEngine: true,
      mayRepeat: true,
      hasForwarded: sink.hasForwarded,
      hasGeneration:
        sequencer.generation !== undefined && !isDead && !isGenerationGone,
      resumesLeft: attempt.resumesLeft,
      attemptsLeft: this.attemptsLeft,
      hasBudget: deps.budget.tokens >= 1,
    });
    if (next.kind === 'try_another') spendRetry(deps.budget);
    deps.logger.warn('try_failed', {
      request: request.id,
      target: admission.run.target,
      failure,
      target_dead: isDead,
      reason: describeError(attempt.targetError),
      next: next.kind,
    });
    if (next.kind === 'answer_failed')
      this.forwardTargetError(attempt.targetError);
    return next;
  }

  private recordTargetCrash(admission: Admission): void {
    const {deps} = this;
    const {target, incarnation} = admission.run;
    const suspects = recordTargetCrash(
      deps.tables,
      target,
      incarnation,
      deps.clock.nowMs(),
    );
    if (suspects.length > 0) {
      deps.logger.warn('target_died', {
        target,
        incarnation,
        suspects: suspects.length,
      });
    }
    deps.sendHeartbeatSoon();
  }

  /** Sends the target's own error response to the caller. */
  private forwardTargetError(error: TargetError | undefined): void {
    if (error?.kind !== 'failed') return;
    this.sink.fail({
      status: error.status,
      code: 'target_error',
      message: errorMessageOf(error.body),
      outcome: 'failed',
    });
  }

  private sendFailure(
    kind: Exclude<FinalDecision['kind'], 'try_another'>,
  ): void {
    if (kind === 'answer_failed') return;
    const isNotRun = kind === 'answer_not_run' && !this.mayHaveRun;
    this.sink.fail(isNotRun ? NO_TARGET_ACCEPTED : INCOMPLETE);
  }

  /**
   * Called when the caller disconnected. Keeps a streamed generation for the
   * resume window, then cancels it unless it has a reader again; cancels any other
   * generation at once.
   */
  private async handleDisconnect(attempt: Attempt): Promise<void> {
    const {deps, request} = this;
    const {generation} = attempt.sequencer;
    const address = addressOf(attempt.admission);
    deps.logger.info('caller_left', {
      request: request.id,
      target: address.target,
    });
    if (generation === undefined) return;
    if (request.isStreamed) {
      await delay(deps.timing.resume_window_ms, undefined, {ref: false});
    }
    await deps.targets.cancel(address, generation, request.isStreamed);
  }
}

function describeError(error: TargetError | undefined): string | undefined {
  if (error === undefined) return undefined;
  return error.kind === 'failed' ? `status ${error.status}` : error.reason;
}

function errorMessageOf(body: string): string {
  const MAX_MESSAGE_LENGTH = 500;
  try {
    const value = JSON.parse(body) as {
      readonly error?: {readonly message?: unknown};
    };
    const message = value.error?.message;
    if (typeof message === 'string') return message;
  } catch {
    // The body is not JSON and is shown unchanged.
  }
  return body.slice(0, MAX_MESSAGE_LENGTH) || 'the target refused the request';
}

const NO_TARGET_ACCEPTED = notRun(
  503,
  'no_target',
  'no target accepted the request',
  1,
);
const INCOMPLETE: ApiError = {
  status: 502,
  code: 'incomplete',
  message: 'the target was lost before the response was complete',
  outcome: 'incomplete',
};

export function runGeneration(
  deps: GenerationDeps,
  request: GenerationRequest,
  sink: ResponseSink,
  callerDisconnected: AbortSignal,
): Promise<void> {
  return new GenerationRun(deps, request, sink, callerDisconnected).run();
}

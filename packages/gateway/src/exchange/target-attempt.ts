/** One attempt: sends a request to a target and forwards its response. */
import type {ServerResponse} from 'node:http';
import type {StopOrder} from '../moves/index.js';
import type {
  ResponseHead,
  UpstreamConnection,
  UpstreamError,
} from '../upstream/index.js';
import {AttemptProgress} from './attempt-progress.js';
import type {PaceProbe} from './pace-probe.js';
import {PROVEN_AFTER_MS} from './quarantine-guard.js';
import {ResponseSink} from './response-sink.js';
import type {ResponseMetadata, GatewayProtocol} from './types.js';

export type AttemptResult =
  /** The complete response was forwarded to the caller. */
  | {readonly kind: 'passed_on'; readonly status: number}
  /**
   * The target stated that it did not run the request, or is not the intended
   * one.
   */
  | {readonly kind: 'not_run'; readonly isMisdirected: boolean}
  /**
   * A complete failure response, held back so that another run may replace it.
   */
  | {
      readonly kind: 'failed';
      readonly sink: ResponseSink;
      readonly status: number;
    }
  /**
   * The response is lost; `startedSink`: the response, if a part of it was sent
   * to the caller.
   */
  | {
      readonly kind: 'lost';
      readonly error: UpstreamError;
      readonly startedSink: ResponseSink | undefined;
      /** Set if the target answered completely, but not with the rest. */
      readonly answer?: 'rejected' | 'failure_response';
    }
  /** The attempt was cancelled. */
  | {readonly kind: 'ended'};

type LostResult = Extract<AttemptResult, {kind: 'lost'}>;

/**
 * The connection of a response without framing ended after the target may have
 * been told to stop the run, so the response may be complete or not.
 */
export interface UnclearEnd {
  readonly kind: 'unclear_end';
  /** Whether the answers to the orders show that the response is complete. */
  isWhole(): boolean;
  /** Resolves when the attempt is cancelled. */
  readonly cancelled: Promise<void>;
  /** Ends the response to the caller. */
  complete(): AttemptResult;
  lose(): AttemptResult;
}

export interface TargetAttempt {
  readonly result: Promise<AttemptResult | UnclearEnd>;
  /** Closes the connection to the target; the result becomes `ended`. */
  cancel(): void;
  /** Whether the caller was sent a part of the response by this run. */
  hasStarted(): boolean;
  /** Ends the attempt as if its connection had broken. */
  breakOff(reason: string): void;
  /**
   * When the body last made progress: an event, or data of a response that is
   * no stream (at first, when the attempt started). On the clock of
   * `performance.now`.
   */
  lastProgressAtMs(): number;
  /**
   * How long no progress was made although the caller has read everything; 0
   * while it has not.
   */
  stalledMs(): number;
  /** Time from the request to the first progress; undefined before it. */
  firstProgressAfterMs(): number | undefined;
  /**
   * How long ago the first part of the body (of a stream: its first event)
   * came; undefined before it.
   */
  answeringForMs(): number | undefined;
  /** The orders to the target to stop this run. */
  readonly stopOrder: StopOrder;
  /** The response; undefined until its head was received. */
  sink(): ResponseSink | undefined;
  /** Whether only the end of the connection ends the response. */
  endsWithConnection(): boolean;
}

export interface TargetAttemptOptions {
  readonly connection: UpstreamConnection;
  readonly request: Buffer;
  readonly attemptId: string | undefined;
  readonly res: ServerResponse;
  readonly protocol: GatewayProtocol;
  readonly isStreamed: boolean;
  /** Whether another target can send the rest of the stream. */
  readonly isResumable: boolean;
  /** The stream that the response continues; undefined for a new response. */
  readonly continuedSink: ResponseSink | undefined;
  /** Whether the run continues from the KV cache of an earlier target. */
  readonly continuesRun: boolean;
  /** The caller has the events of the stream up to this one. */
  readonly callerLastEventId: number | undefined;
  /** Called once when the target has answered, or goes on answering. */
  readonly onProven: () => void;
  /** Called with the head of a response that names this request. */
  readonly onHead: (metadata: ResponseMetadata) => void;
  readonly probe: PaceProbe;
  /** The orders to the target to stop this run. */
  readonly stopOrder: StopOrder;
  /**
   * Called once when the body of a response that may be sound begins, of a
   * stream its first event.
   */
  readonly onAnswer?: () => void;
}

const FIRST_FAILURE_STATUS = 500;
const FIRST_SUCCESS_STATUS = 200;
const FIRST_REDIRECT_STATUS = 300;

function isSuccess(status: number): boolean {
  return status >= FIRST_SUCCESS_STATUS && status < FIRST_REDIRECT_STATUS;
}

export function startTargetAttempt(
  options: TargetAttemptOptions,
): TargetAttempt {
  const {connection, res, protocol, attemptId, isStreamed, probe, stopOrder} =
    options;
  let sink = options.continuedSink;
  sink?.events?.startNextSource();
  const progress = new AttemptProgress(options.continuesRun);
  const pause = () => {
    progress.pause();
    probe.onPause();
    connection.pause();
  };
  if (sink) sink.onBackpressure = pause;
  let metadata: ResponseMetadata | undefined;
  let head: ResponseHead | undefined;
  let settle: (end: AttemptResult | UnclearEnd) => void = () => undefined;
  const result = new Promise<AttemptResult | UnclearEnd>(
    resolve => (settle = resolve),
  );
  let noteCancelled: () => void = () => undefined;
  const cancelled = new Promise<void>(resolve => (noteCancelled = resolve));
  let isProven = false;
  const prove = () => {
    if (isProven) return;
    isProven = true;
    options.onProven();
  };
  const mayBeSound = () =>
    head!.status < FIRST_FAILURE_STATUS &&
    !metadata!.isNotRun &&
    !metadata!.isMisdirected;
  const onDrain = () => {
    progress.resume();
    connection.resume();
  };
  let hasEnded = false;
  const finish = (value: AttemptResult | UnclearEnd) => {
    hasEnded = true;
    res.off('drain', onDrain);
    settle(value);
  };
  res.on('drain', onDrain);
  const toLost = (error: UpstreamError): LostResult => {
    const startedSink = sink?.hasStarted ? sink : undefined;
    return {kind: 'lost', error, startedSink};
  };
  const finishLost = (error: UpstreamError) => finish(toLost(error));
  const loseStopped = () =>
    toLost({kind: 'broken', reason: 'the stream ended after a stop order'});
  const isWhole = () => stopOrder.hasEndedByItself(progress);
  const complete = (): AttemptResult => {
    sink!.end();
    if (isSuccess(head!.status)) {
      prove();
      probe.onPassedOn(performance.now());
    }
    return {kind: 'passed_on', status: head!.status};
  };
  const noteProgress = () => {
    const isFirst = progress.note();
    if (isFirst && mayBeSound()) options.onAnswer?.();
    probe.onProgress(sink?.events?.eventCount, progress.lastAtMs);
    const isSound = isSuccess(head!.status);
    if (isSound && progress.lastedMs() > PROVEN_AFTER_MS) prove();
  };
  const breakOff = (error: UpstreamError) => {
    connection.destroy();
    finishLost(error);
  };

  connection.send(options.request, {
    isForRequest: response => {
      const answeredAttemptId = protocol.readResponse(response).attemptId;
      return answeredAttemptId === undefined || answeredAttemptId === attemptId;
    },
    onHead: response => {
      head = response;
      metadata = protocol.readResponse(response);
      if (metadata.attemptId === attemptId && !metadata.isMisdirected)
        options.onHead(metadata);
      if (isSuccess(response.status) && !metadata.isSigned) {
        breakOff({
          kind: 'malformed',
          reason: 'a success response without a signature',
        });
        return;
      }
      if (options.continuedSink) return;
      const mayStream = isStreamed && isSuccess(response.status);
      sink = new ResponseSink(res, response, mayStream, pause);
      if (options.callerLastEventId !== undefined)
        sink.events?.startAfter(options.callerLastEventId);
    },
    onData: data => {
      const eventsBefore = sink?.events?.eventCount;
      // The body of a failure response is not part of the continued stream.
      if (options.continuedSink && !isSuccess(head!.status)) return;
      const fault = sink?.push(data);
      // Bytes of a stream that complete no event are no progress.
      const isProgress =
        sink?.events === undefined || sink.events.eventCount !== eventsBefore;
      if (isProgress) noteProgress();
      if (fault) breakOff({kind: 'malformed', reason: `${fault} in the body`});
    },
    onEnd: () => {
      const isRejected = metadata!.isNotRun || metadata!.isMisdirected;
      const isNamed = metadata!.attemptId === attemptId;
      const isServed = isSuccess(head!.status) && !isRejected;
      if (!isServed) connection.noteUnserved(attemptId);
      // A continued run started on an earlier target, so it counts as run even
      // if this target rejects it.
      const isLost = options.continuesRun || !isRejected;
      if (options.continuedSink && !isSuccess(head!.status) && isLost) {
        const reason = `status ${head!.status} instead of the rest of the stream`;
        const lost = toLost({kind: 'broken', reason});
        // A refusal that names no request may be one of an earlier request.
        const isAnswer = isNamed || !isRejected;
        const answer = isRejected ? 'rejected' : 'failure_response';
        finish(isAnswer ? {...lost, answer} : lost);
        return;
      }
      if (isRejected) {
        // It may be a refusal of an earlier request, written once more.
        if (!isNamed) {
          breakOff({
            kind: 'malformed',
            reason: 'a refusal that names no request',
          });
          return;
        }
        finish({kind: 'not_run', isMisdirected: metadata!.isMisdirected});
        return;
      }
      if (head!.status >= FIRST_FAILURE_STATUS) {
        finish({kind: 'failed', sink: sink!, status: head!.status});
        return;
      }
      const isCut = options.isResumable
        ? sink!.events?.hasCutEvent
        : head!.endsWithConnection && sink!.events?.hasPartialEvent;
      if (isCut) {
        breakOff({kind: 'broken', reason: 'the stream ended inside an event'});
        return;
      }
      if (stopOrder.mayStop && head!.endsWithConnection) {
        const lose = loseStopped;
        finish({kind: 'unclear_end', isWhole, cancelled, complete, lose});
        return;
      }
      finish(complete());
    },
    onError: finishLost,
  });

  return {
    result,
    breakOff: reason => {
      if (!hasEnded) breakOff({kind: 'broken', reason});
    },
    lastProgressAtMs: () => progress.lastAtMs,
    stalledMs: () => progress.stalledMs(),
    firstProgressAfterMs: () => progress.firstAfterMs(),
    answeringForMs: () => progress.sinceFirstMs(),
    hasStarted: () =>
      (sink?.hasStarted ?? false) &&
      (!options.continuedSink || progress.hasBegun),
    stopOrder,
    sink: () => sink,
    endsWithConnection: () => head?.endsWithConnection ?? false,
    cancel: () => {
      noteCancelled();
      // Another request may use the connection by now.
      if (hasEnded) return;
      connection.destroy();
      finish({kind: 'ended'});
    },
  };
}

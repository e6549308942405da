/** Sends a request to one target and passes its answer on, or says what failed. */
import type {ServerResponse} from 'node:http';
import type {
  ResponseHead,
  UpstreamConnection,
  UpstreamError,
} from '../upstream/index.js';
import {ResponseSink} from './response-sink.js';
import type {ResponseMetadata, GatewayProtocol} from './types.js';

export type AttemptResult =
  /** The caller has the whole answer. */
  | {readonly kind: 'passed_on'; readonly status: number}
  | {readonly kind: 'not_run'; readonly isMisdirected: boolean}
  /** A whole answer of a failure, held back so that another run may replace it. */
  | {
      readonly kind: 'failed';
      readonly sink: ResponseSink;
      readonly status: number;
    }
  /** The answer is lost; `hasStarted` when the caller saw part of it. */
  | {
      readonly kind: 'lost';
      readonly error: UpstreamError;
      readonly hasStarted: boolean;
    }
  | {readonly kind: 'ended'};

export interface TargetAttempt {
  readonly result: Promise<AttemptResult>;
  /** Breaks the exchange off; its result becomes `ended`. */
  cancel(): void;
  /** Whether any part of the answer went to the caller. */
  hasStarted(): boolean;
  /** Ends a stream that went silent, as if its connection had broken. */
  breakOff(reason: string): void;
  /** When anything last came, on the clock of `performance.now`. */
  lastReceivedAtMs(): number;
  /** The answer so far, once its head has come. */
  sink(): ResponseSink | undefined;
}

export interface TargetAttemptOptions {
  readonly connection: UpstreamConnection;
  readonly request: Buffer;
  readonly attemptId: string | undefined;
  readonly res: ServerResponse;
  readonly protocol: GatewayProtocol;
  readonly isStreamed: boolean;
  /** The stream that this answer goes on with; undefined for a new one. */
  readonly continuedSink: ResponseSink | undefined;
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
  const {connection, res, protocol, attemptId, isStreamed} = options;
  let sink = options.continuedSink;
  sink?.events?.startNextSource();
  if (sink) sink.onBackpressure = () => connection.pause();
  let metadata: ResponseMetadata | undefined;
  let head: ResponseHead | undefined;
  let lastReceivedAtMs = performance.now();
  let settle: (result: AttemptResult) => void = () => undefined;
  const result = new Promise<AttemptResult>(resolve => (settle = resolve));
  const onDrain = () => connection.resume();
  const finish = (value: AttemptResult) => {
    res.off('drain', onDrain);
    settle(value);
  };
  res.on('drain', onDrain);
  const breakOff = (error: UpstreamError) => {
    connection.destroy();
    finish({kind: 'lost', error, hasStarted: sink?.hasStarted ?? false});
  };

  connection.send(options.request, {
    isForRequest: response => {
      const answeredAttemptId = protocol.readResponse(response).attemptId;
      return answeredAttemptId === undefined || answeredAttemptId === attemptId;
    },
    onHead: response => {
      head = response;
      metadata = protocol.readResponse(response);
      if (isSuccess(response.status) && !metadata.isSigned) {
        breakOff({kind: 'malformed', reason: 'a success unsigned'});
        return;
      }
      if (options.continuedSink) return;
      const mayStream = isStreamed && isSuccess(response.status);
      sink = new ResponseSink(res, response, mayStream, () =>
        connection.pause(),
      );
    },
    onData: data => {
      lastReceivedAtMs = performance.now();
      // A failure in place of a stream's next events is no part of the stream.
      if (options.continuedSink && !isSuccess(head!.status)) return;
      const fault = sink?.push(data);
      if (fault) breakOff({kind: 'malformed', reason: `a ${fault} of events`});
    },
    onEnd: () => {
      // A run that began elsewhere has run, whatever its next target says.
      if (options.continuedSink && !isSuccess(head!.status)) {
        const reason = `${head!.status} in place of the rest`;
        const hasStarted = sink!.hasStarted;
        finish({kind: 'lost', error: {kind: 'broken', reason}, hasStarted});
        return;
      }
      if (metadata!.isNotRun || metadata!.isMisdirected) {
        finish({kind: 'not_run', isMisdirected: metadata!.isMisdirected});
        return;
      }
      if (head!.status >= FIRST_FAILURE_STATUS) {
        finish({kind: 'failed', sink: sink!, status: head!.status});
        return;
      }
      sink!.end();
      finish({kind: 'passed_on', status: head!.status});
    },
    onError: error => {
      finish({kind: 'lost', error, hasStarted: sink?.hasStarted ?? false});
    },
  });

  return {
    result,
    breakOff: reason => breakOff({kind: 'broken', reason}),
    lastReceivedAtMs: () => lastReceivedAtMs,
    hasStarted: () => sink?.hasStarted ?? false,
    sink: () => sink,
    cancel: () => {
      connection.destroy();
      finish({kind: 'ended'});
    },
  };
}

/** Sends a request to one target and passes its answer on, or says what failed. */
import type {ServerResponse} from 'node:http';
import type {
  AnswerHead,
  UpstreamConnection,
  UpstreamError,
} from '../upstream/index.js';
import {AnswerSink} from './answer-sink.js';
import type {AnswerFacts, GatewayProtocol} from './types.js';

export type SendResult =
  /** The caller has the whole answer. */
  | {readonly kind: 'passed_on'; readonly status: number}
  | {readonly kind: 'not_run'; readonly isMisdirected: boolean}
  /** A whole answer of a failure, held back so that another run may replace it. */
  | {
      readonly kind: 'failed';
      readonly sink: AnswerSink;
      readonly status: number;
    }
  /** The answer is lost; `hasStarted` when the caller saw part of it. */
  | {
      readonly kind: 'lost';
      readonly error: UpstreamError;
      readonly hasStarted: boolean;
    }
  | {readonly kind: 'ended'};

export interface Sending {
  readonly result: Promise<SendResult>;
  /** Breaks the exchange off; its result becomes `ended`. */
  cancel(): void;
  /** Whether any part of the answer went to the caller. */
  hasStarted(): boolean;
  /** Ends a stream that went silent, as if its connection had broken. */
  breakOff(reason: string): void;
  /** When anything last came, on the clock of `performance.now`. */
  heardAtMs(): number;
  /** The answer so far, once its head has come. */
  sink(): AnswerSink | undefined;
}

export interface SendOptions {
  readonly connection: UpstreamConnection;
  readonly request: Buffer;
  readonly attempt: string | undefined;
  readonly res: ServerResponse;
  readonly protocol: GatewayProtocol;
  readonly isStreamed: boolean;
  /** The stream that this answer goes on with; undefined for a new one. */
  readonly goesOn: AnswerSink | undefined;
}

const FIRST_FAILURE_STATUS = 500;
const FIRST_SUCCESS_STATUS = 200;
const FIRST_REDIRECT_STATUS = 300;

function isSuccess(status: number): boolean {
  return status >= FIRST_SUCCESS_STATUS && status < FIRST_REDIRECT_STATUS;
}

export function send(options: SendOptions): Sending {
  const {connection, res, protocol, attempt, isStreamed} = options;
  let sink = options.goesOn;
  sink?.events?.startNextSource();
  if (sink) sink.onFull = () => connection.pause();
  let facts: AnswerFacts | undefined;
  let head: AnswerHead | undefined;
  let heardAtMs = performance.now();
  let settle: (result: SendResult) => void = () => undefined;
  const result = new Promise<SendResult>(resolve => (settle = resolve));
  const onDrain = () => connection.resume();
  const finish = (value: SendResult) => {
    res.off('drain', onDrain);
    settle(value);
  };
  res.on('drain', onDrain);
  const breakOff = (error: UpstreamError) => {
    connection.destroy();
    finish({kind: 'lost', error, hasStarted: sink?.hasStarted ?? false});
  };

  connection.send(options.request, {
    isOwn: answer => {
      const answered = protocol.readAnswer(answer).attempt;
      return answered === undefined || answered === attempt;
    },
    onHead: answer => {
      head = answer;
      facts = protocol.readAnswer(answer);
      if (isSuccess(answer.status) && !facts.isSigned) {
        breakOff({kind: 'malformed', reason: 'a success unsigned'});
        return;
      }
      if (options.goesOn) return;
      const mayStream = isStreamed && isSuccess(answer.status);
      sink = new AnswerSink(res, answer, mayStream, () => connection.pause());
    },
    onData: data => {
      heardAtMs = performance.now();
      // A failure in place of a stream's next events is no part of the stream.
      if (options.goesOn && !isSuccess(head!.status)) return;
      const fault = sink?.take(data);
      if (fault) breakOff({kind: 'malformed', reason: `a ${fault} of events`});
    },
    onEnd: () => {
      // A run that began elsewhere has run, whatever its next target says.
      if (options.goesOn && !isSuccess(head!.status)) {
        const reason = `${head!.status} in place of the rest`;
        const hasStarted = sink!.hasStarted;
        finish({kind: 'lost', error: {kind: 'broken', reason}, hasStarted});
        return;
      }
      if (facts!.isNotRun || facts!.isMisdirected) {
        finish({kind: 'not_run', isMisdirected: facts!.isMisdirected});
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
    heardAtMs: () => heardAtMs,
    hasStarted: () => sink?.hasStarted ?? false,
    sink: () => sink,
    cancel: () => {
      connection.destroy();
      finish({kind: 'ended'});
    },
  };
}

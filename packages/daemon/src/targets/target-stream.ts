/**
 * The response of a target, pushed to one reader as it arrives. Implements the
 * dispatcher's own handler interface: a readable stream in between costs more
 * than everything else that a daemon does with a token.
 */
import type {IncomingHttpHeaders} from 'node:http';
import type {Dispatcher} from 'undici';
import {ByteCollector} from '@samphirefield/core';

export interface StreamReader {
  readonly onData: (chunk: Buffer) => void;
  /** Called once, when the response ended or its connection broke. */
  readonly onEnd: (isComplete: boolean) => void;
}

export interface ResponseHead {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
}

export interface TargetStreamOptions {
  /**
   * Called right before the first byte is written: a process can be suspended
   * between its decision and the write, and must not act on a lease that has
   * expired meanwhile.
   */
  readonly mayStart: () => boolean;
  /** Responses to `HEAD` have no body. */
  readonly method?: string;
  readonly onHead: (head: ResponseHead) => void;
  readonly onFailure: (failure: CallFailure) => void;
}

/** Why a call has no response. */
export interface CallFailure {
  readonly reason: string;
  /** Whether any byte of the request may have been sent. */
  readonly hasStarted: boolean;
  /** Whether the target sent a head, though none that can be used. */
  readonly hasResponded: boolean;
}

const MAX_DISCARDED_BYTES = 65_536;
const DISCARD_TIMEOUT_MS = 2_000;
const FIRST_INTERIM_STATUS = 100;
const SWITCHING_PROTOCOLS = 101;
const FIRST_FINAL_STATUS = 200;
const LAST_FINAL_STATUS = 599;
const BODILESS = new Set([204, 304]);
const SEND_NOT_ALLOWED = 'the request may no longer be sent';

/** Whether another response follows; a switch of protocols ends the call. */
function isInterim(status: number): boolean {
  return (
    status >= FIRST_INTERIM_STATUS &&
    status < FIRST_FINAL_STATUS &&
    status !== SWITCHING_PROTOCOLS
  );
}

function isFinal(status: number): boolean {
  return status >= FIRST_FINAL_STATUS && status <= LAST_FINAL_STATUS;
}

/**
 * Whether the end of the body is stated. One that ends with its connection
 * cannot be told from one that was cut off: undici takes even a reset for its
 * end.
 */
function isFramed({status, headers}: ResponseHead, method?: string): boolean {
  return (
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined ||
    BODILESS.has(status) ||
    method === 'HEAD'
  );
}

/** One call on a connection; implements undici's dispatch handler. */
export class TargetStream implements Dispatcher.DispatchHandler {
  private controller: Dispatcher.DispatchController | undefined;
  private reader: StreamReader | undefined;
  private bufferedChunks: Buffer[] = [];
  private hasStarted = false;
  private hasHead = false;
  private hasInvalidHead = false;
  private isFramed = false;
  private end: {readonly isComplete: boolean} | undefined;

  constructor(private readonly call: TargetStreamOptions) {}

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    if (this.end) controller.abort(new Error('the call was aborted'));
    else if (this.call.mayStart()) this.hasStarted = true;
    else controller.abort(new Error(SEND_NOT_ALLOWED));
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    if (isInterim(status)) return;
    if (!isFinal(status)) {
      this.hasInvalidHead = true;
      controller.abort(new Error(`invalid status ${status}`));
      return;
    }
    this.hasHead = true;
    this.isFramed = isFramed({status, headers}, this.call.method);
    this.call.onHead({status, headers});
  }

  onResponseData(
    _controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    if (this.reader) this.reader.onData(chunk);
    else this.bufferedChunks.push(chunk);
  }

  onResponseEnd(): void {
    this.finish(this.isFramed, '');
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    this.finish(false, error.message);
  }

  /** Attaches the reader; it first gets the chunks that arrived before. */
  read(reader: StreamReader): void {
    this.reader = reader;
    for (const chunk of this.bufferedChunks.splice(0)) reader.onData(chunk);
    if (this.end) reader.onEnd(this.end.isComplete);
  }

  pause(): void {
    this.controller?.pause();
  }

  resume(): void {
    this.controller?.resume();
  }

  /** Aborts the connection; the reader is not called any more. */
  destroy(reason = 'the call was aborted'): void {
    this.reader = undefined;
    const wasOpen = this.end === undefined;
    this.finish(false, reason);
    if (wasOpen) this.controller?.abort(new Error(reason));
  }

  /**
   * Reads and drops the remaining body, so that the connection can be reused;
   * closes the connection if the body is long or does not end.
   */
  discard(): void {
    let bytes = 0;
    const timer = setTimeout(() => this.destroy(), DISCARD_TIMEOUT_MS);
    timer.unref();
    this.read({
      onData: chunk => {
        bytes += chunk.length;
        if (bytes <= MAX_DISCARDED_BYTES) return;
        clearTimeout(timer);
        this.destroy();
      },
      onEnd: () => clearTimeout(timer),
    });
  }

  private finish(isComplete: boolean, reason: string): void {
    if (this.end) return;
    this.end = {isComplete};
    if (this.hasHead) {
      this.reader?.onEnd(isComplete);
      return;
    }
    const {hasStarted, hasInvalidHead: hasResponded} = this;
    this.call.onFailure({reason, hasStarted, hasResponded});
  }
}

/** Reads a complete body; undefined when it was truncated or is too large. */
export function readFully(
  stream: TargetStream,
  maxBytes: number,
): Promise<Buffer | undefined> {
  return new Promise(resolve => {
    const body = new ByteCollector();
    stream.read({
      onData: chunk => {
        if (body.length + chunk.length <= maxBytes) {
          body.push(chunk);
          return;
        }
        resolve(undefined);
        stream.destroy();
      },
      onEnd: isComplete => resolve(isComplete ? body.take() : undefined),
    });
  });
}

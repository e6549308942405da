/**
 * The answer of a target as it comes in, pushed to one reader. Written on the
 * dispatcher's own interface: a readable stream in between costs more than
 * everything else that a daemon does with a token.
 */
import type {IncomingHttpHeaders} from 'node:http';
import type {Dispatcher} from 'undici';

export interface StreamReader {
  readonly onData: (chunk: Buffer) => void;
  /** The answer ended or its connection broke; called once. */
  readonly onEnd: (isWhole: boolean) => void;
}

export interface ResponseHead {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
}

export interface TargetStreamOptions {
  /**
   * Asked right before the first byte is written: a process can be frozen
   * between its decision and the write, and must not act on a lease that has
   * run out meanwhile.
   */
  readonly mayStart: () => boolean;
  readonly onHead: (head: ResponseHead) => void;
  /** `hasStarted` tells whether any byte of the request may have left. */
  readonly onFailure: (reason: string, hasStarted: boolean) => void;
}

const SEND_NOT_ALLOWED = 'the request may no longer be sent';

/** One call on a connection; also the handler that undici drives. */
export class TargetStream implements Dispatcher.DispatchHandler {
  private controller: Dispatcher.DispatchController | undefined;
  private reader: StreamReader | undefined;
  private bufferedChunks: Buffer[] = [];
  private hasStarted = false;
  private hasHead = false;
  private end: {readonly isWhole: boolean} | undefined;

  constructor(private readonly call: TargetStreamOptions) {}

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    if (this.end) controller.abort(new Error('the call was given up'));
    else if (this.call.mayStart()) this.hasStarted = true;
    else controller.abort(new Error(SEND_NOT_ALLOWED));
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    this.hasHead = true;
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
    this.finish(true, '');
  }

  onResponseError(
    _controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    this.finish(false, error.message);
  }

  /** Gives everything from now on, and what came before, to a reader. */
  read(reader: StreamReader): void {
    this.reader = reader;
    for (const chunk of this.bufferedChunks.splice(0)) reader.onData(chunk);
    if (this.end) reader.onEnd(this.end.isWhole);
  }

  pause(): void {
    this.controller?.pause();
  }

  resume(): void {
    this.controller?.resume();
  }

  /** Breaks the connection off; nothing is told to the reader any more. */
  destroy(reason = 'the call was given up'): void {
    this.reader = undefined;
    const wasOpen = this.end === undefined;
    this.finish(false, reason);
    if (wasOpen) this.controller?.abort(new Error(reason));
  }

  /** Reads the rest and forgets it, so that the connection can be used again. */
  discard(): void {
    this.read({onData: () => undefined, onEnd: () => undefined});
  }

  private finish(isWhole: boolean, reason: string): void {
    if (this.end) return;
    this.end = {isWhole};
    if (this.hasHead) this.reader?.onEnd(isWhole);
    else this.call.onFailure(reason, this.hasStarted);
  }
}

/** Reads a whole body; undefined when it was cut off or is too large. */
export function readFully(
  stream: TargetStream,
  maxBytes: number,
): Promise<Buffer | undefined> {
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    stream.read({
      onData: chunk => {
        bytes += chunk.length;
        if (bytes <= maxBytes) {
          chunks.push(chunk);
          return;
        }
        resolve(undefined);
        stream.destroy();
      },
      onEnd: isWhole => resolve(isWhole ? Buffer.concat(chunks) : undefined),
    });
  });
}

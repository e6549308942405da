/** Collects a response and sends it as one body. */
import type {ServerResponse} from 'node:http';
import {sendError, sendJson, type ApiError} from '../http/index.js';
import {DONE_MARKER} from './stream-relay.js';
import type {ResponseEvent, ResponseSink} from './types.js';
import {CompletionAssembler} from './completion-assembler.js';

export class BufferedSink implements ResponseSink {
  /** The caller receives nothing before the end, so it never notices a repeat. */
  readonly hasForwarded = false;
  private assembler = new CompletionAssembler();
  private isReadable = true;

  constructor(
    private readonly response: ServerResponse,
    private readonly isChat: boolean,
    private readonly headers: Readonly<Record<string, string>>,
  ) {}

  begin(): void {
    // A response sent as one body contains no resume tokens.
  }

  forward(events: readonly ResponseEvent[]): boolean {
    for (const {data} of events) {
      if (data !== DONE_MARKER) this.isReadable &&= this.assembler.add(data);
    }
    return true;
  }

  onDrain(resume: () => void): void {
    resume();
  }

  finish(): void {
    if (this.isReadable) {
      sendJson(
        this.response,
        200,
        this.assembler.toBody(this.isChat),
        this.headers,
      );
      return;
    }
    this.fail({
      status: 502,
      code: 'unreadable_answer',
      message: 'the target sent a chunk that is not a completion chunk',
      outcome: 'failed',
    });
  }

  fail(error: ApiError): void {
    sendError(this.response, error, this.headers);
  }

  reset(): void {
    this.assembler = new CompletionAssembler();
    this.isReadable = true;
  }
}

/** Sends an answer to the caller as server-sent events. */
import type {ServerResponse} from 'node:http';
import {sendError, toErrorBody, type ApiError} from '../http/index.js';
import {eventToken, sealPlace} from './resume-token.js';
import type {AnswerEvent, AnswerSink, GenerationPlace} from './types.js';

export class StreamSink implements AnswerSink {
  hasForwarded = false;
  private sealedPlace = '';

  constructor(
    private readonly response: ServerResponse,
    private readonly key: string,
    private readonly maxBufferedBytes: number,
    private readonly headers: Readonly<Record<string, string>>,
  ) {}

  begin(place: GenerationPlace): void {
    this.sealedPlace = sealPlace(this.key, place);
  }

  forward(events: readonly AnswerEvent[]): boolean {
    const {response} = this;
    if (response.destroyed) return true;
    if (!response.headersSent) this.writeHead();
    let text = '';
    for (const {sequence, data} of events) {
      text += `id: ${eventToken(this.sealedPlace, sequence)}\ndata: ${data}\n\n`;
    }
    this.hasForwarded = true;
    response.write(text);
    return response.writableLength <= this.maxBufferedBytes;
  }

  onDrain(resume: () => void): void {
    this.response.once('drain', resume);
  }

  finish(): void {
    if (!this.response.headersSent) this.writeHead();
    this.response.end();
  }

  fail(error: ApiError): void {
    if (!this.response.headersSent) {
      sendError(this.response, error, this.headers);
      return;
    }
    const body = JSON.stringify(toErrorBody(error));
    this.response.end(`event: error\ndata: ${body}\n\n`);
  }

  reset(): void {
    this.sealedPlace = '';
  }

  private writeHead(): void {
    this.response.writeHead(200, {
      'content-type': 'text/event-stream; charset=utf-8',
      'cache-control': 'no-store',
      'x-accel-buffering': 'no',
      ...this.headers,
    });
  }
}

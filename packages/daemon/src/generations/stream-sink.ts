/** Sends a response to the caller as server-sent events. */
import type {ServerResponse} from 'node:http';
import {sendError, toErrorBody, type ApiError} from '../http/index.js';
import {createResumeToken, signLocation} from './resume-token.js';
import type {ResponseEvent, ResponseSink, GenerationLocation} from './types.js';

export class StreamSink implements ResponseSink {
  hasForwarded = false;
  private signedLocation = '';

  constructor(
    private readonly response: ServerResponse,
    private readonly tokenKey: string,
    private readonly maxBufferedBytes: number,
    private readonly headers: Readonly<Record<string, string>>,
  ) {}

  begin(location: GenerationLocation): void {
    this.signedLocation = signLocation(this.tokenKey, location);
  }

  forward(events: readonly ResponseEvent[]): boolean {
    const {response} = this;
    if (response.destroyed) return true;
    if (!response.headersSent) this.writeHead();
    let text = '';
    for (const {sequence, data} of events) {
      text += `id: ${createResumeToken(this.signedLocation, sequence)}\ndata: ${data}\n\n`;
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
    this.signedLocation = '';
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

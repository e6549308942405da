/** Backpressure: a slow caller pauses the target's connection; the buffer is bounded. */
import {expect} from 'earl';
import {EventEmitter} from 'node:events';
import type {ServerResponse} from 'node:http';
import {test} from 'node:test';
import {createSequencer} from '@samphirefield/policy';
import {generationId} from '@samphirefield/core';
import {TargetStream} from '../targets/index.js';
import {relayStream} from './stream-relay.js';
import {StreamSink} from './stream-sink.js';

const MAX_BUFFERED_BYTES = 2_000;
const FRAME_BYTES = 400;

/** A response whose client reads nothing until `drain` is called. */
class SlowResponse extends EventEmitter {
  headersSent = false;
  destroyed = false;
  writableLength = 0;
  isEnded = false;

  writeHead(): void {
    this.headersSent = true;
  }

  write(text: string): void {
    this.writableLength += text.length;
  }

  end(): void {
    this.isEnded = true;
  }

  drain(): void {
    this.writableLength = 0;
    this.emit('drain');
  }
}

/** A connection that records when its reader pauses it. */
function createConnection() {
  const connection = {isPaused: false, pauses: 0};
  const controller = {
    pause: () => {
      connection.isPaused = true;
      connection.pauses += 1;
    },
    resume: () => {
      connection.isPaused = false;
    },
    abort: () => undefined,
  };
  const stream = new TargetStream({
    mayStart: () => true,
    onHead: () => undefined,
    onFailure: () => undefined,
  });
  stream.onRequestStart(controller as never);
  stream.onResponseStart(controller as never, 200, {});
  return {connection, controller, stream};
}

const frame = (sequence: number, data: string) =>
  Buffer.from(`id: g:${sequence}\ndata: ${data}\n\n`);

test('a target connection is paused while the caller does not read, and the buffer stays bounded', async () => {
  const response = new SlowResponse();
  const sink = new StreamSink(
    response as unknown as ServerResponse,
    'key',
    MAX_BUFFERED_BYTES,
    {},
  );
  const {connection, controller, stream} = createConnection();
  let maxBufferedBytes = 0;
  const ended = relayStream({
    body: stream,
    sequencer: createSequencer<string>(generationId('g'), 0),
    forward: events => sink.forward(events),
    onDrain: resume => sink.onDrain(resume),
    silenceTimeoutMs: 60_000,
    callerDisconnected: new AbortController().signal,
  });
  const EVENTS = 200;
  for (let sequence = 0; sequence < EVENTS;) {
    // A paused connection delivers nothing more.
    if (connection.isPaused) response.drain();
    stream.onResponseData(
      controller as never,
      frame(sequence, 'x'.repeat(FRAME_BYTES)),
    );
    maxBufferedBytes = Math.max(maxBufferedBytes, response.writableLength);
    sequence += 1;
  }
  stream.onResponseData(controller as never, frame(EVENTS, '[DONE]'));
  expect(await ended).toEqual('done');
  expect(connection.pauses > 20).toEqual(true);
  expect(maxBufferedBytes < MAX_BUFFERED_BYTES + 2 * FRAME_BYTES).toEqual(true);
});

test('the silence timeout does not run while the caller does not read', async () => {
  const response = new SlowResponse();
  const sink = new StreamSink(
    response as unknown as ServerResponse,
    'key',
    1,
    {},
  );
  const {connection, controller, stream} = createConnection();
  const ended = relayStream({
    body: stream,
    sequencer: createSequencer<string>(generationId('g'), 0),
    forward: events => sink.forward(events),
    onDrain: resume => sink.onDrain(resume),
    silenceTimeoutMs: 40,
    callerDisconnected: new AbortController().signal,
  });
  stream.onResponseData(controller as never, frame(0, 'token'));
  expect(connection.isPaused).toEqual(true);
  await new Promise(resolve => setTimeout(resolve, 120));
  response.drain();
  stream.onResponseData(controller as never, frame(1, '[DONE]'));
  expect(await ended).toEqual('done');
});

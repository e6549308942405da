/**
 * Targets that send without end what is no event, or an event that cannot be
 * forwarded. A daemon keeps a bounded part of it and closes the connection.
 */
import {expect} from 'earl';
import {test} from 'node:test';
import {generationId} from '@samphirefield/core';
import {createSequencer} from '@samphirefield/policy';
import {TargetStream} from '../targets/index.js';
import {CompletionAssembler} from './completion-assembler.js';
import {relayStream} from './stream-relay.js';

const PIECE_BYTES = 16_384;
/** More than a daemon may read of bytes that it cannot forward. */
const MAX_READ_BYTES = 4_194_304;

/** An open connection, and whether the daemon has closed it. */
function openConnection() {
  let isClosed = false;
  const controller = {
    pause: () => undefined,
    resume: () => undefined,
    abort: () => (isClosed = true),
  };
  const stream = new TargetStream({
    mayStart: () => true,
    onHead: () => undefined,
    onFailure: () => undefined,
  });
  stream.onRequestStart(controller as never);
  stream.onResponseStart(controller as never, 200, {});
  /** Sends pieces until the connection is closed; returns the bytes sent. */
  const flood = (pieceOf: (number: number) => string): number => {
    let bytes = 0;
    for (let i = 0; !isClosed && bytes <= MAX_READ_BYTES; i += 1) {
      const piece = Buffer.from(pieceOf(i));
      bytes += piece.length;
      stream.onResponseData(controller as never, piece);
    }
    return bytes;
  };
  return {stream, flood};
}

const LONG = 'x'.repeat(PIECE_BYTES);
const ENDLESS = {
  'a line without an end': () => LONG,
  'an event without an end': () => `data: ${LONG}\n`,
  'a comment without an end': (i: number) => (i === 0 ? `: ${LONG}` : LONG),
  'early events': (i: number) => `id: g:${i + 1}\ndata: ${LONG}\n\n`,
  'one early event again and again': () => `id: g:5\ndata: ${LONG}\n\n`,
} satisfies Record<string, (i: number) => string>;

// Guards against a daemon that runs out of memory by one faulty target.
for (const [name, pieceOf] of Object.entries(ENDLESS)) {
  test(`a generation ends that consists of ${name}`, async () => {
    const {stream, flood} = openConnection();
    const ended = relayStream({
      body: stream,
      sequencer: createSequencer<string>(generationId('g'), 0),
      forward: () => true,
      onDrain: () => undefined,
      silenceTimeoutMs: 60_000,
      callerDisconnected: new AbortController().signal,
    });
    expect(flood(pieceOf) < MAX_READ_BYTES).toEqual(true);
    expect(await ended).toEqual('broken_sequence');
  });
}

test('a body that is not wanted and does not end is cut off', () => {
  const {stream, flood} = openConnection();
  stream.discard();
  expect(flood(() => LONG) < MAX_READ_BYTES).toEqual(true);
});

test('a whole response of tokens without an end is dropped', () => {
  const assembler = new CompletionAssembler();
  const chunk = JSON.stringify({choices: [{index: 0, text: LONG}]});
  let chunks = 0;
  while (chunks < 2_000 && assembler.add(chunk)) chunks += 1;
  expect(chunks > 900 && chunks < 1_100).toEqual(true);
  const body = JSON.stringify(assembler.toBody(false));
  expect(body.includes('"choices":[]')).toEqual(true);
});

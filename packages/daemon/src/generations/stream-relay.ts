/** Reads the events of a generation from one connection and forwards them in order. */
import {StringDecoder} from 'node:string_decoder';
import {createParser, type EventSourceMessage} from 'eventsource-parser';
import {generationId} from '@samphirefield/core';
import {acceptEvent, type SequencerState} from '@samphirefield/policy';
import type {TargetStream} from '../targets/index.js';
import type {ResponseEvent} from './types.js';

export const DONE_MARKER = '[DONE]';
/** Longest event; the bytes of a longer one would be kept until it ends. */
const MAX_EVENT_CHARACTERS = 65_536;
/** Most characters of early events that wait for the ones before them. */
const MAX_HELD_CHARACTERS = 1_048_576;

/** Why the relay of a connection ended. */
export type RelayEnd =
  'done' | 'lost' | 'silent' | 'broken_sequence' | 'caller_left';

export interface StreamRelayOptions {
  readonly body: TargetStream;
  readonly sequencer: SequencerState<string>;
  /** Returns false when the caller reads too slowly; then wait for `onDrain`. */
  readonly forward: (events: readonly ResponseEvent[]) => boolean;
  readonly onDrain: (resume: () => void) => void;
  readonly silenceTimeoutMs: number;
  readonly callerDisconnected: AbortSignal;
}

/** Splits `generation:sequence`; undefined for an id of another shape. */
function readEventId(
  id: string | undefined,
): {readonly generation: string; readonly sequence: number} | undefined {
  const colon = id?.lastIndexOf(':') ?? -1;
  if (id === undefined || colon < 1) return undefined;
  const sequence = Number(id.slice(colon + 1));
  if (!Number.isSafeInteger(sequence) || sequence < 0) return undefined;
  return {generation: id.slice(0, colon), sequence};
}

export function relayStream(options: StreamRelayOptions): Promise<RelayEnd> {
  const {body, sequencer, silenceTimeoutMs, callerDisconnected} = options;
  return new Promise(resolve => {
    const decoder = new StringDecoder('utf8');
    let pending: ResponseEvent[] = [];
    let heldCharacters = 0;
    let end: RelayEnd | undefined;

    const accept = (message: EventSourceMessage) => {
      const id = readEventId(message.id);
      if (id === undefined) {
        end = 'broken_sequence';
        return;
      }
      const generation = generationId(id.generation);
      const event = {generation, sequence: id.sequence, payload: message.data};
      const first = sequencer.nextSequence;
      const accepted = acceptEvent(sequencer, event);
      if (accepted.isErr()) {
        end = 'broken_sequence';
        return;
      }
      const isHeld = id.sequence > first;
      heldCharacters = isHeld ? heldCharacters + message.data.length : 0;
      if (heldCharacters > MAX_HELD_CHARACTERS) end = 'broken_sequence';
      accepted.value.forEach((data, position) => {
        pending.push({generation, sequence: first + position, data});
        if (data === DONE_MARKER) end = 'done';
      });
    };

    const parser = createParser({
      onEvent: accept,
      onError: ({type}) => {
        if (type === 'max-buffer-size-exceeded') end ??= 'broken_sequence';
      },
      maxBufferSize: MAX_EVENT_CHARACTERS,
    });
    const finish = (reason: RelayEnd) => {
      clearTimeout(timer);
      callerDisconnected.removeEventListener('abort', onDisconnect);
      if (reason === 'done') body.discard();
      else body.destroy();
      resolve(reason);
    };
    const onDisconnect = () => finish('caller_left');
    const timer = setTimeout(() => finish('silent'), silenceTimeoutMs);

    const flush = () => {
      const events = pending;
      pending = [];
      if (events.length === 0) return;
      if (options.forward(events) || end) return;
      // Only this stream waits; its connection to the target fills up meanwhile.
      body.pause();
      clearTimeout(timer);
      options.onDrain(() => {
        timer.refresh();
        body.resume();
      });
    };

    body.read({
      onData: chunk => {
        timer.refresh();
        parser.feed(decoder.write(chunk));
        flush();
        if (end) finish(end);
      },
      onEnd: () => finish('lost'),
    });
    callerDisconnected.addEventListener('abort', onDisconnect, {once: true});
    if (callerDisconnected.aborted) onDisconnect();
  });
}

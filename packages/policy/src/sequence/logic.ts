/**
 * Puts the events of one generation in order, each once. Duplicates are
 * dropped, early events are held, and events of another generation are refused.
 */
import {err, ok, type Result} from 'neverthrow';
import type {GenerationId} from '@samphirefield/core';
import type {SequencedEvent, SequenceError, SequencerState} from './types.js';

/** An event further ahead of the next expected one than this is refused. */
export const MAX_HELD_EVENTS = 1_024;

export function createSequencer<Payload>(
  generation: GenerationId | undefined,
  nextSequence: number,
): SequencerState<Payload> {
  return {generation, nextSequence, held: new Map()};
}

/** Accepts an event and returns the payloads that are next in order, if any. */
export function acceptEvent<Payload>(
  state: SequencerState<Payload>,
  event: SequencedEvent<Payload>,
): Result<readonly Payload[], SequenceError> {
  state.generation ??= event.generation;
  if (event.generation !== state.generation) {
    const {generation: expected} = state;
    const found = event.generation;
    return err({kind: 'foreign_generation', expected, found});
  }
  if (event.sequence < state.nextSequence) return ok([]);
  if (event.sequence > state.nextSequence) return hold(state, event);
  state.nextSequence += 1;
  if (state.held.size === 0) return ok([event.payload]);
  return ok([event.payload, ...takeHeld(state)]);
}

function hold<Payload>(
  state: SequencerState<Payload>,
  event: SequencedEvent<Payload>,
): Result<readonly Payload[], SequenceError> {
  if (event.sequence - state.nextSequence > MAX_HELD_EVENTS) {
    const {nextSequence} = state;
    return err({kind: 'window_exceeded', nextSequence, found: event.sequence});
  }
  state.held.set(event.sequence, event.payload);
  return ok([]);
}

function takeHeld<Payload>(state: SequencerState<Payload>): Payload[] {
  const payloads: Payload[] = [];
  for (;;) {
    const payload = state.held.get(state.nextSequence);
    if (payload === undefined) return payloads;
    state.held.delete(state.nextSequence);
    payloads.push(payload);
    state.nextSequence += 1;
  }
}

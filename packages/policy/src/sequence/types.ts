/** Types of the events of a generation, in the order received from a target. */
import type {GenerationId} from '@samphirefield/core';

/** One event of a stream; sequence numbers start at 0 and have no gaps. */
export interface SequencedEvent<Payload> {
  readonly generation: GenerationId;
  readonly sequence: number;
  readonly payload: Payload;
}

/** Why an event was refused. */
export type SequenceError =
  | {
      readonly kind: 'foreign_generation';
      readonly expected: GenerationId;
      readonly found: GenerationId;
    }
  | {
      readonly kind: 'window_exceeded';
      readonly nextSequence: number;
      readonly found: number;
    };

export interface SequencerState<Payload> {
  /** Undefined until the first event sets it. */
  generation: GenerationId | undefined;
  nextSequence: number;
  /** Payloads of events that arrived early, by sequence number. */
  readonly held: Map<number, Payload>;
}

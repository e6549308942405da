/** Events of a generation as they come from a target. */
import type {GenerationId} from '@samphirefield/core';

/** One event of a stream; sequence numbers start at 0 and have no gaps. */
export interface SequencedEvent<Payload> {
  readonly generation: GenerationId;
  readonly sequence: number;
  readonly payload: Payload;
}

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
  generation: GenerationId | undefined;
  nextSequence: number;
  readonly held: Map<number, Payload>;
}

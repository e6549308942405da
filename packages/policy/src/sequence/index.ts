export {acceptEvent, createSequencer, MAX_HELD_EVENTS} from './logic.js';
export type {SequencedEvent, SequenceError, SequencerState} from './types.js';

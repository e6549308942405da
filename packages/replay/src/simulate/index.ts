export type {ReplayFigures} from './recorder.js';
export {checkOutcomes, type OutcomeCheck} from './outcomes.js';
export {POLICIES, replay, type PolicyName} from './replay.js';

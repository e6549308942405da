export type {ReplayFigures} from './measure.js';
export {checkOutcomes, type OutcomeCheck} from './outcomes.js';
export {POLICIES, replay, type PolicyName} from './replay.js';

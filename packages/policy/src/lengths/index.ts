export {createHistogram, expectedRestTokens, recordLength} from './logic.js';
export type {LengthHistogram} from './types.js';

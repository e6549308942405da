export {
  createLengthHistogram,
  expectedRemainingTokens,
  recordLength,
} from './logic.js';
export type {LengthHistogram} from './types.js';

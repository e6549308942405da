/** A fixed set of random schedules. `npm run fuzz` runs many more. */
import {expect} from 'earl';
import {test} from 'node:test';
import {runSchedule} from './index.js';

const SEEDS_IN_CI = 60;

test('random schedules violate no invariant of the replicated log', () => {
  let answered = 0;
  let reads = 0;
  for (let seed = 1; seed <= SEEDS_IN_CI; seed += 1) {
    const result = runSchedule(seed);
    answered += result.answered;
    reads += result.reads;
  }
  // The schedules would prove nothing if no command ever completed.
  expect(answered > SEEDS_IN_CI * 5).toEqual(true);
  expect(reads > SEEDS_IN_CI).toEqual(true);
});

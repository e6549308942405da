/**
 * Overlapping faults drawn from a seed, checked from what callers get and what
 * targets run. SEEDS=FROM-TO plays other seeds than those of CI.
 */
import {expect} from 'earl';
import {test} from 'node:test';
import {playFaults} from './testing/fault-mix.js';

const [from = 1, to = 3] = (process.env['SEEDS'] ?? '').split('-').map(Number);
const isDefault = process.env['SEEDS'] === undefined;
const FIRST_SEED = isDefault ? 1 : from;
const LAST_SEED = isDefault ? 3 : to;

for (let seed = FIRST_SEED; seed <= LAST_SEED; seed += 1) {
  test(`callers and targets see a promise broken under the faults of seed ${seed}`, async t => {
    const report = await playFaults(t, seed);
    expect(report.broken).toEqual([]);
    expect(report.served > 0).toEqual(true);
  });
}

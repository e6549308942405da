/**
 * Admission control on the load that it is designed for, against the order of
 * arrival: what callers get, and that no class, size or workspace is starved.
 */
import {expect} from 'earl';
import {test} from 'node:test';
import {figuresOf} from './figures.js';
import {playScenario} from './play.js';
import {PRESSURE_SCENARIOS} from './pressure.js';
import {reportClass, type ClassReport} from './shares.js';

const SEED = 1;
/** Points by which a more urgent class may be served less. */
const MAX_SERVED_GAP = 5;
const MAX_EARNED_GAP = 15;
const LATE_WORTH = 0.15;

const servedOf = ({inTime, late}: ClassReport) => inTime + late;
const earnedOf = ({inTime, late}: ClassReport) => inTime + late * LATE_WORTH;

for (const scenario of PRESSURE_SCENARIOS) {
  test(`${scenario.name}: worth more than in the order of arrival, and fair`, () => {
    const before = figuresOf(playScenario(scenario, SEED));
    const played = playScenario(scenario, SEED, true);
    expect(figuresOf(played).worth).toBeGreaterThan(before.worth);
    const long = reportClass(played, 'long');
    const short = reportClass(played, 'short');
    expect(servedOf(short)).toBeGreaterThan(servedOf(long) - MAX_SERVED_GAP);
    expect(earnedOf(short)).toBeGreaterThan(earnedOf(long) - MAX_EARNED_GAP);
    for (const report of [long, short]) {
      const half = servedOf(report) / 2;
      expect(report.largestServed).toBeGreaterThanOrEqual(half);
      expect(report.worstWorkspaceServed).toBeGreaterThanOrEqual(half);
    }
  });
}

test('refused long requests hear so at once more often than after a wait', () => {
  const scenario = PRESSURE_SCENARIOS.find(
    ({name}) => name === 'pressure-flood',
  )!;
  const long = reportClass(playScenario(scenario, SEED, true), 'long');
  expect(long.refusedAtOnce).toBeGreaterThan(long.refusedAfterWait);
});

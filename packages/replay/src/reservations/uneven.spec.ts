/** Targets of uneven speed, with and without the table of target loads. */
import {expect} from 'earl';
import {test} from 'node:test';
import {figuresOf} from './figures.js';
import {playPlainTargets, UNEVEN_PLAIN} from './plain-play.js';
import {playScenario} from './play.js';
import {UNEVEN} from './scenario.js';

const SEED = 1;
/** By how much the table has to lower the share that is not in time. */
const MISSED_FACTOR = 0.5;

function missedOnEngines(usesTable: boolean): number {
  const unevenness = {...UNEVEN.unevenness!, usesTable};
  const played = playScenario(
    {...UNEVEN, engines: 36, durationMs: 30_000, unevenness},
    SEED,
  );
  const classes = figuresOf(played).classes;
  const short = classes.find(({name}) => name === 'short')!;
  return 1 - short.shares.in_time;
}

test('short requests wait on slow engines although others are faster', () => {
  const missed = missedOnEngines(true);
  expect(missed).toBeLessThan(MISSED_FACTOR * missedOnEngines(false));
});

function missedOnPlain(usesTable: boolean): number {
  const unevenness = {...UNEVEN_PLAIN.unevenness, usesTable};
  const scenario = {...UNEVEN_PLAIN, durationMs: 12_000, unevenness};
  return 1 - playPlainTargets(scenario, SEED).inTime;
}

test('entries send to plain targets that are slow or busy with others', () => {
  const missed = missedOnPlain(true);
  expect(missed).toBeLessThan(MISSED_FACTOR * missedOnPlain(false));
});

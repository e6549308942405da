/**
 * Heavy loads on the dispatcher, played in virtual time against the emulator's
 * engines: what callers get.
 */
import {expect} from 'earl';
import {test} from 'node:test';
import {figuresOf, type ClassFigures} from './figures.js';
import {playScenario} from './play.js';
import {SCENARIOS} from './scenario.js';
import type {PlayedRequest} from './types.js';

const SEED = 1;
/** The stated share of requests with their first token in time. */
const IN_TIME_SHARE = 0.95;
/** A class served less often than this share of all counts as starved. */
const STARVED_SHARE = 0.25;

function play(name: string) {
  const scenario = SCENARIOS.find(item => item.name === name)!;
  const played = playScenario(scenario, SEED);
  return {played, figures: figuresOf(played)};
}

const servedShare = ({shares}: ClassFigures) => shares.in_time + shares.late;

function expectNoneStarved(classes: readonly ClassFigures[]): void {
  const asked = classes.reduce((sum, item) => sum + item.asked, 0);
  const served = classes.reduce(
    (sum, item) => sum + item.asked * servedShare(item),
    0,
  );
  for (const item of classes) {
    const least = (STARVED_SHARE * served) / asked;
    expect(servedShare(item)).toBeGreaterThanOrEqual(least);
  }
}

for (const name of ['botenbeurs', 'tembusu']) {
  test(`${name}: answers begin in time while engines leave and return`, () => {
    const {figures} = play(name);
    for (const {shares} of figures.classes) {
      expect(shares.in_time).toBeGreaterThanOrEqual(IN_TIME_SHARE);
      expect(shares.refused).toEqual(0);
    }
  });

  test(`${name}: a burst is queued, not refused and not preempted`, () => {
    const {played, figures} = play(`${name}-burst`);
    expectNoneStarved(figures.classes);
    for (const {shares} of figures.classes) expect(shares.refused).toEqual(0);
    const preemptedShare = figures.preemptions / played.requests.length;
    expect(preemptedShare).toBeLessThan(1 - IN_TIME_SHARE);
  });

  test(`${name}: a flood starves no class, and refuses early`, () => {
    const {played, figures} = play(`${name}-flood`);
    expectNoneStarved(figures.classes);
    const isLate = ({refusedAfterMs, requestClass}: PlayedRequest) =>
      refusedAfterMs !== undefined &&
      refusedAfterMs > requestClass.deadlineMs / 8;
    const refused = played.requests.filter(
      request => request.refusedAfterMs !== undefined,
    );
    const lateRefusals = refused.filter(isLate).length;
    expect(refused.length).toBeGreaterThan(0);
    expect(lateRefusals / refused.length).toBeLessThan(0.5);
  });
}

test('the same seed plays the same', () => {
  expect(play('tembusu-burst').figures).toEqual(play('tembusu-burst').figures);
});

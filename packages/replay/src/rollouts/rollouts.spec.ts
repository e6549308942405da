/**
 * Rollouts of good and bad versions in virtual time: what a bad version gets, and
 * that a good one completes by its deadline.
 */
import {expect} from 'earl';
import {test} from 'node:test';
import {LIMITS, playRollout} from './play.js';
import {BAD_KINDS, drawScenario, GOOD_KINDS, type Kind} from './scenario.js';

const PLAYS = [
  {entries: 9, seed: 1},
  {entries: 9, seed: 2},
  {entries: 9, seed: 3},
  {entries: 70, seed: 2},
] as const;

function play(kind: Kind, {entries, seed}: (typeof PLAYS)[number]) {
  const scenario = drawScenario(kind, seed, {entries});
  return {scenario, outcome: playRollout(scenario)};
}

for (const kind of BAD_KINDS) {
  test(`bad version, ${kind}: rolled back within the bounds`, () => {
    for (const item of PLAYS) {
      const {outcome, scenario} = play(kind, item);
      const limit = LIMITS.exposeShare * outcome.requests + LIMITS.exposeSlack;
      expect(outcome.exposed).toBeLessThanOrEqual(limit);
      expect(outcome.lastSentAfterMs).toBeLessThanOrEqual(LIMITS.rollbackMs);
      expect(outcome.state).toEqual('rolled_back');
      expect(outcome.endedAtMs!).toBeLessThanOrEqual(scenario.durationMs);
    }
  });
}

for (const kind of GOOD_KINDS) {
  test(`good version, ${kind}: completes by the deadline`, () => {
    for (const item of PLAYS) {
      const {outcome, scenario} = play(kind, item);
      expect(outcome.state).toEqual('completed');
      expect(outcome.endedAtMs!).toBeLessThanOrEqual(scenario.durationMs);
    }
  });
}

test('10,000 requests a second: a version that fails is seen in time', () => {
  const size = {entries: 9, ratePerS: 10_000, durationMs: 10_000};
  for (const kind of ['fails', 'slow', 'fails_under_load'] as const) {
    // A change of leader may interrupt the count of bad responses.
    const scenario = {...drawScenario(kind, 1, size), trouble: 'none'} as const;
    const {lastSentAfterMs, state} = playRollout(scenario);
    expect(state).toEqual('rolled_back');
    expect(lastSentAfterMs).toBeLessThanOrEqual(LIMITS.rollbackMs);
  }
});

test('the same seed plays the same', () => {
  const once = play('fails_later', PLAYS[0]);
  expect(play('fails_later', PLAYS[0])).toEqual(once);
});

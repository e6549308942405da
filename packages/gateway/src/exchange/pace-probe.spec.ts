/** What is measured of a response. */
import {expect} from 'earl';
import {test} from 'node:test';
import {createPaceProbe, type PaceProbeOptions} from './pace-probe.js';

function setUp(options: Partial<PaceProbeOptions> = {}) {
  const samples: Array<[string, number]> = [];
  const probe = createPaceProbe({
    isStreamed: true,
    isContinued: false,
    promptTokens: 500,
    sentAtMs: 100,
    record: ({kind, durationMs}) => samples.push([kind, durationMs]),
    ...options,
  });
  return {probe, samples};
}

test('the time to the first event or between events is measured wrongly', () => {
  const {probe, samples} = setUp();
  for (let i = 1; i <= 13; i += 1) probe.onProgress(i, 1_000 + i * 100);
  probe.onPassedOn(5_000);
  expect(samples).toEqual([
    ['first_event', 1],
    ['event_gap', 100],
  ]);
});

test('a caller that reads slowly makes its target look slow', () => {
  const {probe, samples} = setUp();
  probe.onProgress(1, 1_100);
  probe.onPause();
  for (let i = 2; i <= 10; i += 1) probe.onProgress(i, i * 1_000);
  expect(samples).toEqual([['first_event', 1]]);
  const plain = setUp({isStreamed: false});
  plain.probe.onPause();
  plain.probe.onPassedOn(9_000);
  expect(plain.samples).toEqual([]);
});

test('a continued stream counts as a first event', () => {
  const {probe, samples} = setUp({isContinued: true});
  probe.onProgress(40, 5_000);
  expect(samples).toEqual([]);
});

test('the duration of a plain response is not measured', () => {
  const {probe, samples} = setUp({isStreamed: false});
  probe.onProgress(undefined, 150);
  probe.onPassedOn(180);
  expect(samples).toEqual([['response', 80]]);
});

/** The selection of the control daemons that an entry links to. */
import {expect} from 'earl';
import {test} from 'node:test';
import type {Address} from '../link/index.js';
import {
  INFORMANT_COUNT,
  REPLACE_UNINFORMED_AFTER_MS,
  selectControls,
  type ControlCandidate,
} from './control-selection.js';

const CONTROLS = 9;
const address = (i: number): Address => ({host: '10.0.0.1', port: i});

function candidates(
  changed: Readonly<Record<number, Partial<ControlCandidate>>> = {},
): ControlCandidate[] {
  return Array.from({length: CONTROLS}, (_, i) => ({
    address: address(i),
    isLinked: i < INFORMANT_COUNT,
    uninformedSinceMs: undefined,
    hasOpenRequests: false,
    ...changed[i],
  }));
}

test('links to a few control daemons, not to all', () => {
  const unlinked = candidates().map(item => ({...item, isLinked: false}));
  const {open, close} = selectControls(unlinked, undefined, 0);
  expect(open).toEqual([0, 1, 2].map(address));
  expect(close).toEqual([]);
});

test('links to the leader as well', () => {
  const {open, close} = selectControls(candidates(), address(7), 0);
  expect(open).toEqual([address(7)]);
  const linked = candidates({7: {isLinked: true}});
  expect(selectControls(linked, address(7), 0).close).toEqual([]);
  expect(close).toEqual([]);
});

test('replaces a daemon that stays without a leader', () => {
  const isolated = candidates({1: {uninformedSinceMs: 100}});
  const early = 100 + REPLACE_UNINFORMED_AFTER_MS - 1;
  expect(selectControls(isolated, address(0), early).open).toEqual([]);
  const {open, close} = selectControls(isolated, address(0), early + 1);
  expect(open).toEqual([address(3)]);
  expect(close).toEqual([]);
});

test('tries every daemon while none informs the entry', () => {
  const all = Object.fromEntries(
    candidates().map((_, i) => [i, {isLinked: true, uninformedSinceMs: 0}]),
  );
  delete all[CONTROLS - 1];
  const {open, close} = selectControls(candidates(all), undefined, 10_000);
  expect(open).toEqual([address(CONTROLS - 1)]);
  expect(close).toEqual([]);
});

test('closes a substitute once the preferred daemons inform the entry', () => {
  const substitute = {isLinked: true, uninformedSinceMs: undefined};
  const isBack = candidates({3: substitute});
  expect(selectControls(isBack, address(0), 0).close).toEqual([address(3)]);
  const isConnecting = candidates({
    2: {uninformedSinceMs: 0},
    3: substitute,
  });
  expect(selectControls(isConnecting, address(0), 0).close).toEqual([]);
});

test('keeps a link on which a response is awaited', () => {
  const earlierLeader = {isLinked: true, hasOpenRequests: true};
  const ranked = candidates({8: earlierLeader});
  expect(selectControls(ranked, address(0), 0).close).toEqual([]);
});

/** The verdict over a test run with listed failures. */
import {expect} from 'earl';
import {test} from 'node:test';
import {isGreen, judge, parseKnownRed} from './known-red.mjs';

const TEXT = `site day, RULE
  command: a longer run
test: packages/a/src/a.spec.ts > one fault
  seen: it
`;
const KEY = 'packages/a/src/a.spec.ts > one fault';
const OTHER = {key: 'packages/a/src/a.spec.ts > other', isPassed: true};

const verdict = (outcomes, isPartial = false) =>
  isGreen(judge(outcomes, parseKnownRed(TEXT), isPartial));

test('only entries of tests are listed tests', () => {
  expect(parseKnownRed(TEXT)).toEqual([KEY]);
});

test('a listed test that fails is passed over', () => {
  expect(verdict([OTHER, {key: KEY, isPassed: false}])).toEqual(true);
});

test('a listed test that passes fails the run', () => {
  expect(verdict([OTHER, {key: KEY, isPassed: true}])).toEqual(false);
});

test('a listed test that did not run fails a whole run only', () => {
  expect(verdict([OTHER])).toEqual(false);
  expect(verdict([OTHER], true)).toEqual(true);
});

test('a test that is not listed fails the run', () => {
  const failed = {...OTHER, isPassed: false};
  expect(verdict([failed, {key: KEY, isPassed: false}])).toEqual(false);
});

test('a run without tests is not green', () => {
  expect(isGreen(judge([], [], false))).toEqual(false);
});

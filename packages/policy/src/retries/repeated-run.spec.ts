/** Requests that run again although their time is over. */
import {expect} from 'earl';
import {test} from 'node:test';
import {canRunInTime} from './repeated-run.js';

test('a request runs again too late for its caller, or not although it could', () => {
  const isInTime = (remainingMs: number, firstEventMs?: number) =>
    canRunInTime({remainingMs, firstEventMs});
  expect([isInTime(0), isInTime(1)]).toEqual([false, true]);
  expect([isInTime(400, 1_000), isInTime(420, 1_000)]).toEqual([false, true]);
});

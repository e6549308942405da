/** When refused callers are told to return. */
import {expect} from 'earl';
import {test} from 'node:test';
import {retryAfterMs} from './local-response.js';

const refused = (estimateMs?: number) => ({
  kind: 'not_run' as const,
  reason: 'crowded',
  retryAfterMs: estimateMs,
});

test('callers return when a place is expected', () => {
  expect(retryAfterMs(refused(1_500), 30_000)).toEqual(1_500);
});

test('callers return before too little of their time is left', () => {
  expect(retryAfterMs(refused(20_000), 6_000)).toEqual(1_800);
  expect(retryAfterMs(refused(20_000), -5)).toEqual(0);
});

test('callers return soon when nothing can be estimated', () => {
  expect(retryAfterMs(refused(), 30_000)).toEqual(400);
  expect(retryAfterMs({kind: 'not_configured'}, 1_000)).toEqual(300);
});

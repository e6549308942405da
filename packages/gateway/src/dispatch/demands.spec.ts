/** Demands of streams that run again. */
import {expect} from 'earl';
import {test} from 'node:test';
import {instanceId, requestId, serviceId, zoneId} from '@samphirefield/core';
import {resumeDemand, startDemand} from './demands.js';

const tokens = {
  promptTokens: 3_000,
  maxOutputTokens: 1_000,
  hintedOutputTokens: undefined,
};
const requester = {
  request: requestId('r'),
  service: serviceId('s'),
  entry: instanceId('e'),
  zone: zoneId('z'),
  priority: 2,
  workspace: undefined,
  excluded: [],
};
const start = startDemand(requester, tokens, 4_000, 20_000);

test('a stream that runs again takes more memory of an engine than was reserved', () => {
  const demand = resumeDemand(start, tokens, 800, true);
  expect(demand.prefillTokens).toEqual(3_800);
  expect(demand.kvTokens).toEqual(3_800);
  expect(resumeDemand(start, tokens, 10, true).kvTokens).toEqual(
    start.kvTokens,
  );
});

test('a stream that has begun is late for its first event once more', () => {
  const demand = resumeDemand(start, tokens, 800, true);
  expect([demand.isRunning, demand.inTimeMs, demand.noTargetWaitMs]).toEqual([
    true,
    start.maxWaitMs,
    start.maxWaitMs,
  ]);
});

test('a caller goes ahead of others, or takes a whole engine, by a number of its own', () => {
  const demand = resumeDemand(start, tokens, 1e15, false);
  expect(demand.isRunning).toEqual(false);
  expect(demand.kvTokens).toEqual(4_000);
});

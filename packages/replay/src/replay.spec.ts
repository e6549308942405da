/**
 * Tests of replays: determinism by seed, the outcomes that a trace states, and
 * trace files.
 */
import {expect} from 'earl';
import fc from 'fast-check';
import {test} from 'node:test';
import {
  checkOutcomes,
  formatTrace,
  generateTrace,
  parseTrace,
  replay,
  type DeploymentName,
  type PolicyName,
} from './index.js';

const makeTrace = (
  deployment: DeploymentName,
  requestsPerS: number,
  hasZoneOut = false,
) =>
  generateTrace({
    deployment,
    seed: 3,
    requestsPerS,
    durationMs: 60_000,
    hasZoneOut,
  });

test('replays with the same seed return the same figures', async () => {
  const first = await replay(makeTrace('botenbeurs', 6), 'samphirefield', 1);
  const second = await replay(makeTrace('botenbeurs', 6), 'samphirefield', 1);
  expect(second).toEqual(first);
  expect(first.completed).toEqual(first.requests);
});

test('no policy loses or sheds a request', async () => {
  for (const policy of [
    'round_robin',
    'least_load',
    'power_of_two',
    'samphirefield',
  ] as PolicyName[]) {
    const figures = await replay(makeTrace('tembusu', 5), policy, 1);
    expect([policy, figures.lost, figures.shed]).toEqual([policy, 0, 0]);
  }
});

/** Sums over three seeds at nine tenths of the engines' capacity. */
async function sumsNearCapacity(policy: PolicyName) {
  const sums = {preemptions: 0, stallS: 0};
  for (const seed of [1, 2, 3]) {
    const trace = generateTrace({
      deployment: 'tembusu',
      seed,
      requestsPerS: 7.3,
      durationMs: 180_000,
      hasZoneOut: false,
    });
    const figures = await replay(trace, policy, seed);
    sums.preemptions += figures.preemptions;
    sums.stallS += figures.stallS;
  }
  return sums;
}

test('near KV cache capacity the daemon preempts at most a tenth and stalls at most a fifth of the best baseline', async () => {
  const daemonSums = await sumsNearCapacity('samphirefield');
  const baselines = await Promise.all(
    (['round_robin', 'least_load', 'power_of_two'] as PolicyName[]).map(
      sumsNearCapacity,
    ),
  );
  const best = (key: 'preemptions' | 'stallS') =>
    Math.min(...baselines.map(sums => sums[key]));
  expect(best('preemptions') > 300).toEqual(true);
  expect(daemonSums.preemptions <= 0.1 * best('preemptions')).toEqual(true);
  expect(daemonSums.stallS <= 0.2 * best('stallS')).toEqual(true);
});

test('a zone that goes out and comes back loses no request and overloads no cold engine', async () => {
  for (const deployment of ['tembusu', 'botenbeurs'] as DeploymentName[]) {
    const trace = makeTrace(deployment, 4, true);
    const figures = await replay(trace, 'samphirefield', 1);
    const checks = checkOutcomes(trace.head, figures);
    expect(checks.map(check => [check.name, check.isMet])).toEqual([
      ['max_lost', true],
      ['max_above_bearing', true],
    ]);
  }
});

test('a formatted trace parses to an equal trace', () => {
  const trace = makeTrace('tembusu', 2, true);
  expect(parseTrace(formatTrace(trace))._unsafeUnwrap()).toEqual(trace);
});

test('a parse error names the line of the trace', () => {
  const text = formatTrace(makeTrace('tembusu', 1));
  const lines = text.split('\n');
  expect(
    parseTrace(['{}', ...lines.slice(1)].join('\n'))._unsafeUnwrapErr().line,
  ).toEqual(1);
  expect(
    parseTrace([lines[0], '{', ...lines.slice(1)].join('\n'))._unsafeUnwrapErr()
      .line,
  ).toEqual(2);
  const swapped = [lines[0], lines[5], lines[2]].join('\n');
  expect(parseTrace(swapped)._unsafeUnwrapErr()).toEqual({
    line: 3,
    message: 'at_ms: goes back in time',
  });
});

test('the trace parser never throws', () => {
  fc.assert(
    fc.property(fc.string(), text => {
      parseTrace(text);
    }),
    {seed: 2, numRuns: 300},
  );
});

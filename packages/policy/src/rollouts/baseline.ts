/**
 * What the old version does now on each route: its rate of failures and of slow
 * responses. A route with few requests takes its rates from all routes, and a
 * disturbance of the whole service is seen from all routes together.
 */
import type {Counts} from './evidence.js';
import {responsesOf} from './evidence.js';
import {bucketEndMs, bucketsOf, LATENCY_BUCKETS} from './latency.js';

/** Attempts in progress for this many times the usual latency are overdue. */
const OVERDUE_FACTOR = 1.5;
const USUAL_QUANTILE = 0.95;
/**
 * A response is slow above this quantile of the old version's latencies, bounded
 * to two to four times their median: long tails would hide slowness otherwise.
 */
const SLOW_QUANTILE = 0.97;
const MIN_SLOW_BUCKETS = bucketsOf(2);
const MAX_SLOW_BUCKETS = bucketsOf(4);
/** Responses after which a median is known well enough. */
const MIN_MEDIAN_RESPONSES = 16;
/** Half-life of the recent responses of the old version. */
const NOW_HALF_LIFE_MS = 400;
/**
 * Half-life of the latencies that define what is slow. A disturbance of seconds
 * is to change the rate of slow responses, not this definition.
 */
const LATENCY_HALF_LIFE_MS = 8_000;
/** Weight of what is known of all routes, in responses of one route. */
const ROUTE_WEIGHT = 30;
/** Weight of a route's mean over time, in recent responses. */
const TIME_WEIGHT = 20;
/** Events and responses that a rollout is assumed to begin with. */
const ASSUMED = {failures: 0.1, slowness: 0.5} as const;
const ASSUMED_RESPONSES = 10;
/**
 * Rates are never taken to be lower: a single event in a thousand responses, and
 * one slow in a hundred, happen to any service.
 */
const MIN_RATE = {failures: 0.001, slowness: 0.01} as const;
const MAX_RATE = 0.98;

export const TESTS = ['failures', 'slowness'] as const;
export type Test = (typeof TESTS)[number];

/** Responses and those among them that are bad or slow. */
export interface Sample {
  responses: number;
  events: number;
}

const createSample = (): Sample => ({responses: 0, events: 0});
const createSamples = (): Record<Test, Sample> => ({
  failures: createSample(),
  slowness: createSample(),
});

interface RouteBaseline {
  readonly total: Record<Test, Sample>;
  readonly recent: Record<Test, Sample>;
  /** Sound responses by latency, older ones with less weight. */
  readonly latency: number[];
  /** First bucket of slow responses; undefined while too little is known. */
  slowBucket: number | undefined;
}

export interface Baseline {
  readonly routes: Map<string, RouteBaseline>;
  readonly total: Record<Test, Sample>;
}

export function createBaseline(): Baseline {
  return {routes: new Map(), total: createSamples()};
}

function routeOf(baseline: Baseline, route: string): RouteBaseline {
  const known = baseline.routes.get(route);
  if (known) return known;
  const latency = new Array<number>(LATENCY_BUCKETS).fill(0);
  const created: RouteBaseline = {
    total: createSamples(),
    recent: createSamples(),
    latency,
    slowBucket: undefined,
  };
  baseline.routes.set(route, created);
  return created;
}

/** The bucket that holds this quantile; undefined if too little is known. */
function quantileBucket(latency: readonly number[], part: number) {
  const all = latency.reduce((sum, count) => sum + count, 0);
  if (all < MIN_MEDIAN_RESPONSES) return undefined;
  let below = 0;
  return latency.findIndex(count => (below += count) >= part * all);
}

function findSlowBucket({latency}: RouteBaseline): number | undefined {
  const median = quantileBucket(latency, 0.5);
  const tail = quantileBucket(latency, SLOW_QUANTILE);
  if (median === undefined || tail === undefined) return undefined;
  const least = Math.max(median + MIN_SLOW_BUCKETS, tail);
  return 1 + Math.min(median + MAX_SLOW_BUCKETS, least);
}

/** Time after which an attempt of this route is overdue, if it is known. */
export function overdueMs(
  {routes}: Baseline,
  route: string,
): number | undefined {
  const known = routes.get(route);
  const bucket = known && quantileBucket(known.latency, USUAL_QUANTILE);
  return bucket === undefined
    ? undefined
    : OVERDUE_FACTOR * bucketEndMs(bucket);
}

/** The longest of these times over all routes; 0 while none is known. */
export function usualLatencyMs(baseline: Baseline): number {
  const all = [...baseline.routes.keys()].map(
    route => overdueMs(baseline, route) ?? 0,
  );
  return Math.max(0, ...all);
}

/** The counts as a sample of a test; undefined if it isn't known what is slow. */
export function sampleOf(
  baseline: Baseline,
  route: string,
  test: Test,
  counts: Counts,
): Sample | undefined {
  if (test === 'failures')
    return {responses: responsesOf(counts), events: counts.bad};
  const bucket = routeOf(baseline, route).slowBucket;
  if (bucket === undefined) return undefined;
  const slow = counts.latency.slice(bucket).reduce((sum, n) => sum + n, 0);
  return {responses: responsesOf(counts) - counts.bad, events: slow};
}

function add(sum: Sample, {responses, events}: Sample): void {
  sum.responses += responses;
  sum.events += events;
}

function fade(sample: Sample, keep: number): void {
  sample.responses *= keep;
  sample.events *= keep;
}

/**
 * Decays what was seen before, and computes from it what is slow. This precedes
 * the next responses, since slow ones would raise the limit for themselves.
 */
export function fadeBaseline({routes}: Baseline, passedMs: number): void {
  const keep = 0.5 ** (passedMs / NOW_HALF_LIFE_MS);
  const keepLatency = 0.5 ** (passedMs / LATENCY_HALF_LIFE_MS);
  for (const route of routes.values()) {
    const {latency, recent} = route;
    for (const test of TESTS) fade(recent[test], keep);
    latency.forEach((count, bucket) => (latency[bucket] = count * keepLatency));
    route.slowBucket = findSlowBucket(route);
  }
}

/** Adds responses of the old version. */
export function addOld(
  baseline: Baseline,
  route: string,
  counts: Counts,
): void {
  const known = routeOf(baseline, route);
  const addLatency = () =>
    counts.latency.forEach((n, bucket) => (known.latency[bucket]! += n));
  const isFirst = known.slowBucket === undefined;
  if (isFirst) {
    addLatency();
    known.slowBucket = findSlowBucket(known);
  }
  for (const test of TESTS) {
    const sample = sampleOf(baseline, route, test, counts);
    if (!sample) continue;
    add(known.total[test], sample);
    add(known.recent[test], sample);
    add(baseline.total[test], sample);
  }
  if (!isFirst) addLatency();
}

function rate(sample: Sample, weight: number, assumedRate: number): number {
  return (
    (sample.events + weight * assumedRate) / (sample.responses + weight || 1)
  );
}

/** A route's rate over the whole time. */
function meanRate(baseline: Baseline, route: RouteBaseline, test: Test) {
  const assumed = ASSUMED[test] / ASSUMED_RESPONSES;
  const ofAll = rate(baseline.total[test], ASSUMED_RESPONSES, assumed);
  return rate(route.total[test], ROUTE_WEIGHT, ofAll);
}

/** By how much all routes together are above or below their means now. */
export function disturbance(baseline: Baseline, test: Test): number {
  let events = 0;
  let expected = 0;
  for (const route of baseline.routes.values()) {
    const recent = route.recent[test];
    events += recent.events;
    expected += recent.responses * meanRate(baseline, route, test);
  }
  // Two events more on either side keep a chance event from doubling the rate.
  return (events + 2) / (expected + 2);
}

/** The old version's rate of events on a route now. */
export function oldRate(
  baseline: Baseline,
  route: string,
  test: Test,
  disturbed: number,
): number {
  const known = routeOf(baseline, route);
  const mean = meanRate(baseline, known, test) * disturbed;
  const now = rate(known.recent[test], TIME_WEIGHT, Math.min(MAX_RATE, mean));
  return Math.min(MAX_RATE, Math.max(MIN_RATE[test], now));
}

/** Number of old responses that the rates of a route, or of all, rest on. */
export function oldResponses(
  baseline: Baseline,
  route: string | undefined,
  test: Test,
): number {
  if (route === undefined) return baseline.total[test].responses;
  const known = baseline.routes.get(route)?.total[test].responses ?? 0;
  // What is known of the other routes counts a little.
  return known + Math.min(ROUTE_WEIGHT, baseline.total[test].responses);
}

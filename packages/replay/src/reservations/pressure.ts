/**
 * The load that admission control is designed for: callers compete for too
 * little KV cache all day. Many short urgent requests and few long ones with a
 * looser objective; a sixth of the engines leaves every 3.3 s; one kind at a
 * time comes 2.6 times as often for some seconds, or the demand swings by half.
 */
import type {RequestClass, Scenario} from './scenario.js';

const LONG: RequestClass = {
  name: 'long',
  perS: 14,
  promptTokens: 3_000,
  promptSpread: 0.35,
  outputTokens: 750,
  outputSpread: 1.09,
  maxOutputTokens: 1_800,
  hintSpread: 1.2,
  objectiveMs: 4_000,
  deadlineMs: 39_000,
  priority: 2,
  worth: 48,
  lateWorth: 7.2,
};

const SHORT: RequestClass = {
  name: 'short',
  perS: 24,
  promptTokens: 2_200,
  promptSpread: 0.35,
  outputTokens: 12,
  outputSpread: 0.5,
  maxOutputTokens: 32,
  hintSpread: 0.5,
  objectiveMs: 1_500,
  deadlineMs: 6_000,
  priority: 0,
  worth: 24,
  lateWorth: 3.6,
};

const BURST_FACTOR = 2.6;
const BURST_EVERY_MS = 14_000;
const BURST_MS = 5_000;
const SWING_SHARE = 0.5;
const SWING_PERIOD_MS = 20_000;

/** Short and long requests burst in turn. */
function burstFactor({name}: RequestClass, atMs: number): number {
  const count = Math.floor(atMs / BURST_EVERY_MS);
  const isBurst = atMs % BURST_EVERY_MS >= BURST_EVERY_MS - BURST_MS;
  const burstName = count % 2 === 0 ? SHORT.name : LONG.name;
  return isBurst && name === burstName ? BURST_FACTOR : 1;
}

function swingFactor(_requestClass: RequestClass, atMs: number): number {
  const phase = (2 * Math.PI * atMs) / SWING_PERIOD_MS;
  return 1 + SWING_SHARE * Math.sin(phase);
}

const PRESSURE: Scenario = {
  name: 'pressure',
  durationMs: 84_000,
  engines: 31,
  slots: 24,
  kvTokens: 27_000,
  zones: 4,
  classes: [LONG, SHORT],
  leaveShare: 1 / 6,
  leaveEveryMs: 3_300,
  noticeMs: 1_500,
  noticeSpreadMs: 600,
  replacedAfterMs: 4_000,
  burst: 1,
  burstFromMs: 0,
  burstToMs: 0,
  workspaces: 8,
  stepBaseMs: 13,
};

const withRates = (scenario: Scenario, factor: number): Scenario => ({
  ...scenario,
  classes: scenario.classes.map(item => ({...item, perS: item.perS * factor})),
});

/** Engines that prefill and decode faster or slower, with their load. */
function atPace(scenario: Scenario, stepBaseMs: number, rates: number) {
  const paced = {...withRates(scenario, rates), stepBaseMs};
  return {...paced, name: `${scenario.name}-${rates > 1 ? 'fast' : 'slow'}`};
}

const BURST: Scenario = {
  ...PRESSURE,
  name: 'pressure-burst',
  rateFactor: burstFactor,
};

export const PRESSURE_SCENARIOS: readonly Scenario[] = [
  PRESSURE,
  BURST,
  atPace(BURST, 7, 1.5),
  atPace(BURST, 20, 0.7),
  {...withRates(BURST, 0.7), name: 'pressure-light'},
  {...PRESSURE, name: 'pressure-swing', rateFactor: swingFactor},
  {...withRates(PRESSURE, 1.5), name: 'pressure-flood'},
  {
    ...withRates(PRESSURE, 0.32),
    name: 'pressure-small',
    engines: 10,
    zones: 3,
    rateFactor: burstFactor,
  },
];

/**
 * Compares three explanations of the responses of the new version: it is as good
 * as the old one; it is, but a few of its targets are faulty; or the version is
 * bad on all targets. Each is weighed by the probability that it gives to what
 * was seen, with unknown rates integrated over (beta-binomial), so few responses
 * never weigh much. Results are natural logarithms of ratios.
 */
import type {TargetId} from '@samphirefield/core';

/** Probability that some targets of a version are faulty during a rollout. */
const FAULTY_PRIOR = 0.02;
/** Probability that another one is faulty if one is: they may have crashed. */
const ANOTHER_FAULTY_PRIOR = 0.3;
/** The same if a crash would be known by now. */
const ANOTHER_LATER_PRIOR = 0.05;
/** Probability that a target that is sound otherwise is faulty under load. */
const UNLIKELY_FAULT_PRIOR = 0.0005;
/** Part of the targets that may be faulty while the version isn't. */
const MAX_FAULTY_PART = 1 / 3;
/** Events above the expected ones before a version can be called bad. */
const MIN_EXCESS = 1.8;
/** A version with this many times the events of the old one may be bad. */
const MIN_RATIO = 1.5;

/** `known`: it was gone, or fails on other routes. `unlikely`: sound there or unloaded. */
export type TargetFault = 'known' | 'possible' | 'unlikely';

/** Logarithm of a ratio from which the rest of the targets counts as worse. */
const CLEARLY_WORSE = Math.log(20);

/** Responses of one target, and the events that the old version would have. */
export interface TargetTally {
  readonly target: TargetId;
  readonly responses: number;
  readonly events: number;
  readonly expected: number;
  /** Whether other observations show or deny that the target is faulty. */
  readonly fault: TargetFault;
}

export interface Weight {
  /** How much more likely "bad" is than "as good as the old version". */
  readonly overGood: number;
  /** The same without a least number of events. */
  readonly suspicion: number;
  /** How much more likely "bad" is than both of the others. */
  readonly overAll: number;
  /**
   * The same if crashes would be known by now: a target that is sound otherwise is
   * hardly faulty. Before, it may have crashed a moment ago.
   */
  readonly overAllLater: number;
  readonly faultyTargets: readonly TargetId[];
  /** Number of targets that responded, and of those that look worse. */
  readonly targets: number;
  readonly worseTargets: number;
  /** Number of targets that the version has, responding or not. */
  readonly versionTargets: number;
  readonly responses: number;
  readonly events: number;
  readonly expected: number;
}

/** Stirling's series, shifted to arguments where it has 8 digits. */
function lnGamma(x: number): number {
  let shift = 0;
  let z = x;
  for (; z < 8; z += 1) shift += Math.log(z);
  const series = 1 / (12 * z) - 1 / (360 * z ** 3) + 1 / (1260 * z ** 5);
  const stirling = (z - 0.5) * Math.log(z) - z + 0.5 * Math.log(2 * Math.PI);
  return stirling + series - shift;
}

const lnBeta = (a: number, b: number): number =>
  lnGamma(a) + lnGamma(b) - lnGamma(a + b);

/** Logarithm of the probability of a sequence under a beta-distributed rate. */
function lnSequence(
  events: number,
  responses: number,
  alpha: number,
  beta: number,
): number {
  const others = Math.max(0, responses - events);
  return lnBeta(alpha + events, beta + others) - lnBeta(alpha, beta);
}

type Sums = Pick<TargetTally, 'responses' | 'events' | 'expected'>;

function sumOf(tallies: readonly Sums[]): Sums {
  const sum = {responses: 0, events: 0, expected: 0};
  for (const {responses, events, expected} of tallies) {
    sum.responses += responses;
    sum.events += events;
    sum.expected += expected;
  }
  return sum;
}

/** As the old version, whose rate rests on `strength` responses. */
function lnAsOld(sums: Sums, strength: number): number {
  if (sums.responses <= 0) return 0;
  const mean = Math.min(0.99, Math.max(1e-4, sums.expected / sums.responses));
  const {events, responses} = sums;
  return lnSequence(events, responses, mean * strength, (1 - mean) * strength);
}

/** At a rate of its own. */
function lnOwnRate({events, responses}: Sums): number {
  return lnSequence(events, responses, 1, 1);
}

/** Whether there are enough events to call these responses bad. */
function isBad({events, expected}: Sums): boolean {
  return events - MIN_RATIO * expected >= MIN_EXCESS;
}

/** How many of these targets may be faulty while the version is good. */
export function maxFaultyTargets(targets: number): number {
  if (targets < 2) return 0;
  return Math.max(1, Math.floor(targets * MAX_FAULTY_PART));
}

interface Faulty {
  readonly ln: number;
  readonly targets: readonly TargetId[];
  /** The same targets, but the rest isn't as good as the old version either. */
  readonly lnAllWorse: number;
}

/** The best explanation by faulty targets, tried in order of their excess. */
function explainByTargets(
  suspects: readonly TargetTally[],
  others: readonly TargetTally[],
  maxFaulty: number,
  strength: number,
  isLater: boolean,
): Faulty {
  let best: Faulty = {ln: -Infinity, targets: [], lnAllWorse: -Infinity};
  let lnOwn = 0;
  const anotherPrior = isLater ? ANOTHER_LATER_PRIOR : ANOTHER_FAULTY_PRIOR;
  let ln = 0;
  let withPrior = 0;
  for (let count = 1; count <= suspects.length && count <= maxFaulty; count++) {
    const last = suspects[count - 1]!;
    ln += lnOwnRate(last);
    lnOwn += lnOwnRate(last);
    const isUnlikely = isLater && last.fault === 'unlikely';
    if (isUnlikely) {
      ln += Math.log(UNLIKELY_FAULT_PRIOR);
    } else if (last.fault !== 'known') {
      ln += Math.log(withPrior === 0 ? FAULTY_PRIOR : anotherPrior);
      withPrior += 1;
    }
    const rest = sumOf([...suspects.slice(count), ...others]);
    const total = ln + lnAsOld(rest, strength);
    const targets = suspects.slice(0, count).map(({target}) => target);
    const lnRest = lnOwnRate(rest);
    const isRestWorse =
      isBad(rest) && lnRest - lnAsOld(rest, strength) > CLEARLY_WORSE;
    const lnAllWorse = isRestWorse ? lnOwn + lnRest : -Infinity;
    if (total > best.ln) best = {ln: total, targets, lnAllWorse};
  }
  return best;
}

/** Weighs the explanations; `targets` counts those of the new version. */
export function weigh(
  tallies: readonly TargetTally[],
  targets: number,
  strength: number,
): Weight {
  const sums = sumOf(tallies);
  const isWorse = ({events, expected}: Sums) => events > MIN_RATIO * expected;
  const suspects = tallies
    .filter(isWorse)
    .sort((a, b) => b.events - b.expected - (a.events - a.expected));
  const others = tallies.filter(tally => !isWorse(tally));
  const maxFaulty = maxFaultyTargets(targets);
  const good = lnAsOld(sums, strength);
  const explain = (isLater: boolean) =>
    explainByTargets(suspects, others, maxFaulty, strength, isLater);
  const faulty = explain(false);
  const faultyLater = explain(true);
  // A version that turned bad late has another rate on targets that got requests
  // before, so the best of a common rate and of separate rates counts.
  const pooled = isBad(sums) ? lnOwnRate(sums) : -Infinity;
  const bad = Math.max(pooled, faulty.lnAllWorse, faultyLater.lnAllWorse);
  const isFaulty = faulty.ln > good;
  return {
    overGood: bad - good,
    suspicion: isWorse(sums) ? lnOwnRate(sums) - good : -Infinity,
    overAll: bad - Math.max(good, faulty.ln),
    overAllLater: bad - Math.max(good, faultyLater.ln),
    faultyTargets: isFaulty && faulty.ln > bad ? faulty.targets : [],
    targets: tallies.length,
    worseTargets: suspects.length,
    versionTargets: targets,
    ...sums,
  };
}

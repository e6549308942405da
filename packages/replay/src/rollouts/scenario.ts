/**
 * Rollouts of good and bad versions with sizes that are drawn from the seed:
 * 30 to 1,500 requests a second, 10 to 30 s, 2 to 16 targets of each version, one
 * to ten routes.
 */
import {createRandom, type Random} from '@samphirefield/replication/fuzz';

/** Faults of versions that must be rolled back. */
export const BAD_KINDS = [
  'fails',
  'slow',
  'fails_later',
  'slow_later',
  'fails_under_load',
  'slow_under_load',
  'fails_on_route',
  'slow_on_route',
  'never_responds',
] as const;
/** Sound versions, some with other faults, that must not be rolled back. */
export const GOOD_KINDS = [
  'good',
  'as_bad_as_old',
  'burst',
  'crashed_third',
  'cold_start',
  'faulty_target',
  'few_requests',
] as const;
export type BadKind = (typeof BAD_KINDS)[number];
export type Kind = BadKind | (typeof GOOD_KINDS)[number];

/** Faults of the daemons. */
export type Trouble = 'none' | 'cut_off_entries' | 'leader_change';
const TROUBLES: readonly Trouble[] = [
  'none',
  'none',
  'cut_off_entries',
  'leader_change',
];

export interface Scenario {
  readonly kind: Kind;
  readonly seed: number;
  readonly entries: number;
  readonly trouble: Trouble;
  /** When the trouble begins; seconds of it follow. */
  readonly troubleAtMs: number;
  readonly ratePerS: number;
  readonly durationMs: number;
  readonly oldTargets: number;
  readonly newTargets: number;
  readonly routes: number;
  readonly latencyMs: number;
  /** Spread (sigma) of the log-normal latency. */
  readonly latencySpread: number;
  /** Part of all responses, of any version, that fails. */
  readonly failureShare: number;
  /** Part of a bad version's responses that is bad. */
  readonly badShare: number;
  readonly slowFactor: number;
  /** When a version turns bad late, and when other faults begin. */
  readonly faultAtMs: number;
}

/** A number from low to high whose logarithm is evenly spread. */
function logUniform(random: Random, low: number, high: number): number {
  const steps = 1_000;
  return low * (high / low) ** (random.below(steps) / steps);
}

export interface Size {
  readonly entries: number;
  /** Undefined: drawn from the seed. */
  readonly ratePerS?: number;
  readonly durationMs?: number;
}

export function drawScenario(kind: Kind, seed: number, size: Size): Scenario {
  const random = createRandom(seed * 7_919 + size.entries);
  const ratePerS =
    kind === 'few_requests'
      ? logUniform(random, 0.5, 3)
      : (size.ratePerS ?? logUniform(random, 30, 1_500));
  const durationMs = size.durationMs ?? logUniform(random, 10_000, 30_000);
  const oldTargets = random.between(2, 16);
  return {
    kind,
    seed,
    entries: size.entries,
    trouble: random.pick(TROUBLES)!,
    troubleAtMs: durationMs * logUniform(random, 0.1, 0.9),
    ratePerS,
    durationMs,
    oldTargets,
    newTargets: random.chance(0.7)
      ? oldTargets
      : random.between(Math.ceil(oldTargets / 2), 16),
    routes: kind.endsWith('route') ? 10 : random.between(1, 10),
    latencyMs: logUniform(random, 5, 500),
    latencySpread: logUniform(random, 0.1, 0.7),
    failureShare:
      kind === 'as_bad_as_old'
        ? logUniform(random, 0.05, 0.4)
        : logUniform(random, 0.0005, 0.02),
    badShare: logUniform(random, 0.2, 1),
    slowFactor: logUniform(random, 3, 8),
    faultAtMs: durationMs * logUniform(random, 0.15, 0.45),
  };
}

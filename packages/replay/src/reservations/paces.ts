/** Targets of uneven speed that slow down for short times, from a seed. */
import type {TargetId} from '@samphirefield/core';
import {createRandom} from '@samphirefield/replication/fuzz';
import {uniform} from './draw.js';
import type {Unevenness} from './scenario.js';

/** Keeps this random generator apart from that of the requests. */
const SEED_OFFSET = 1_000_003;

interface Pace {
  readonly steady: number;
  /** The present slowdown, or the next one. */
  slowFromMs: number;
  slowToMs: number;
}

export class EnginePaces {
  private readonly random;
  private readonly paces = new Map<TargetId, Pace>();

  constructor(
    private readonly unevenness: Unevenness,
    seed: number,
  ) {
    this.random = createRandom(seed + SEED_OFFSET);
  }

  /** Duration of work on the target now, in multiples of the usual. */
  paceOf(id: TargetId, nowMs: number): number {
    const pace = this.paceAt(id, nowMs);
    const isSlow = nowMs >= pace.slowFromMs;
    return pace.steady * (isSlow ? this.unevenness.slowFactor : 1);
  }

  /** The pace that the target states. */
  statedPace(id: TargetId, nowMs: number): number {
    const pace = this.paceOf(id, nowMs);
    const {statesSteadyPace} = this.unevenness;
    return statesSteadyPace ? pace : pace / this.paceAt(id, nowMs).steady;
  }

  private paceAt(id: TargetId, nowMs: number): Pace {
    const pace = this.paces.get(id) ?? this.addPace(id, nowMs);
    while (nowMs >= pace.slowToMs) this.drawSlowdown(pace);
    return pace;
  }

  private addPace(id: TargetId, nowMs: number): Pace {
    const {minPace, maxPace} = this.unevenness;
    const steady = minPace + uniform(this.random.below) * (maxPace - minPace);
    const pace: Pace = {steady, slowFromMs: nowMs, slowToMs: nowMs};
    this.paces.set(id, pace);
    return pace;
  }

  private drawSlowdown(pace: Pace): void {
    const {slowShare, slowMs} = this.unevenness;
    const meanGapMs = (slowMs * (1 - slowShare)) / slowShare;
    const gapMs = -Math.log(uniform(this.random.below)) * meanGapMs;
    pace.slowFromMs = pace.slowToMs + gapMs;
    pace.slowToMs =
      pace.slowFromMs + slowMs * (0.5 + uniform(this.random.below));
  }
}

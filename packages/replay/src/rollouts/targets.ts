/** Targets of both versions: whether a request fails and how long it takes. */
import type {Random} from '@samphirefield/replication/fuzz';
import {targetId, type TargetId} from '@samphirefield/core';
import type {VersionSide} from '@samphirefield/policy';
import type {Scenario} from './scenario.js';

/** A version that is bad under load is so above this part of the old load. */
const LOADED_PART = 0.6;
/** Time over which a target's load is measured. */
const LOAD_MS = 400;
export const BURST_MS = 2_500;
const BURST_SLOWNESS = 2.5;
const COLD_MS = 2_000;
const COLD_SLOWNESS = 6;
/** Time from a crash until the target is no longer announced, and is back. */
const NOTICED_MS = 1_500;
const RESTART_MS = 4_000;
/** Time of a failure, as a part of the usual latency. */
const FAST_FAILURE_PART = 0.3;
/** The sum of this many uniform numbers has a variance of 1. */
const SUMMANDS = 12;
const STEPS = 10_000;
const MS_PER_S = 1_000;

export interface Run {
  /** Undefined: the target never responds. */
  readonly tookMs: number | undefined;
  readonly isFailure: boolean;
  /** Whether it is bad because of the version. */
  readonly isVersionsFault: boolean;
}

interface Target {
  readonly id: TargetId;
  readonly index: number;
  load: number;
  loadAtMs: number;
}

function normal(random: Random): number {
  let sum = -SUMMANDS / 2;
  for (let i = 0; i < SUMMANDS; i += 1) sum += random.below(STEPS) / STEPS;
  return sum;
}

const createTargets = (side: string, count: number): Target[] =>
  Array.from({length: count}, (_, index) => ({
    id: targetId(`${side}-${String(index).padStart(3, '0')}`),
    index,
    load: 0,
    loadAtMs: 0,
  }));

export class Targets {
  private readonly bySide: Record<VersionSide, readonly Target[]>;

  constructor(
    private readonly scenario: Scenario,
    private readonly random: Random,
  ) {
    this.bySide = {
      old: createTargets('old', scenario.oldTargets),
      new: createTargets('new', scenario.newTargets),
    };
  }

  private get crashed(): number {
    const {kind, newTargets} = this.scenario;
    return kind === 'crashed_third' ? Math.floor(newTargets / 3) : 0;
  }

  private sinceFaultMs(nowMs: number): number {
    return nowMs - this.scenario.faultAtMs;
  }

  /** Ids of the targets that the registry calls usable. */
  usable(side: VersionSide, nowMs: number): TargetId[] {
    const sinceMs = this.sinceFaultMs(nowMs);
    const isNoticed = sinceMs > NOTICED_MS && sinceMs < RESTART_MS;
    const out = side === 'new' && isNoticed ? this.crashed : 0;
    return this.bySide[side].slice(out).map(({id}) => id);
  }

  pickAny(side: VersionSide): TargetId {
    return this.random.pick(this.bySide[side])!.id;
  }

  /** Counts a request; returns how many a second the target got recently. */
  private countLoad(target: Target, nowMs: number): number {
    const keep = Math.exp(-(nowMs - target.loadAtMs) / LOAD_MS);
    target.load = target.load * keep + 1;
    target.loadAtMs = nowMs;
    return (target.load * MS_PER_S) / LOAD_MS;
  }

  private isBad(target: Target, route: number, nowMs: number): boolean {
    const {kind, badShare, ratePerS, newTargets, oldTargets} = this.scenario;
    const loadPerS = this.countLoad(target, nowMs);
    const isHit = this.random.chance(badShare);
    if (!isHit) return false;
    if (kind.endsWith('_later')) return this.sinceFaultMs(nowMs) >= 0;
    if (kind.endsWith('_route')) return route === 0;
    if (!kind.endsWith('_load')) return true;
    const usualPerS = ratePerS / Math.min(newTargets, oldTargets);
    return loadPerS >= LOADED_PART * usualPerS;
  }

  private usualMs(route: number, nowMs: number): number {
    const {kind, latencyMs, latencySpread} = this.scenario;
    const sinceMs = this.sinceFaultMs(nowMs);
    const isBurst = kind === 'burst' && sinceMs >= 0 && sinceMs < BURST_MS;
    const factor = (1 + route / 4) * (isBurst ? BURST_SLOWNESS : 1);
    return latencyMs * factor * Math.exp(latencySpread * normal(this.random));
  }

  /** Troubles of single targets of a good version. */
  private runTroubled(target: Target, usualMs: number, nowMs: number): Run {
    const {kind, newTargets} = this.scenario;
    const sinceMs = this.sinceFaultMs(nowMs);
    const isOut = target.index < this.crashed;
    const isCold =
      (kind === 'cold_start' && nowMs < COLD_MS / 2) ||
      (isOut && sinceMs >= RESTART_MS && sinceMs < RESTART_MS + COLD_MS);
    const isDown = isOut && sinceMs >= 0 && sinceMs < RESTART_MS;
    const isFaulty =
      kind === 'faulty_target' && newTargets > 1 && target.index === 1;
    const isFailure =
      isDown || isFaulty || this.random.chance(this.scenario.failureShare);
    const slowness = isCold ? COLD_SLOWNESS : 1;
    return {tookMs: usualMs * slowness, isFailure, isVersionsFault: false};
  }

  /** Runs a request that reaches the target now. */
  run(side: VersionSide, id: TargetId, route: number, nowMs: number): Run {
    const usualMs = this.usualMs(route, nowMs);
    const {kind, failureShare, slowFactor} = this.scenario;
    const isGeneral = this.random.chance(failureShare);
    const usual = {
      tookMs: usualMs,
      isFailure: isGeneral,
      isVersionsFault: false,
    };
    if (side === 'old') return usual;
    const target = this.bySide.new.find(item => item.id === id)!;
    const isSlow = kind.startsWith('slow');
    const isHanging = kind === 'never_responds';
    if (!isSlow && !isHanging && !kind.startsWith('fails'))
      return this.runTroubled(target, usualMs, nowMs);
    if (!this.isBad(target, route, nowMs)) return usual;
    if (isHanging)
      return {tookMs: undefined, isFailure: true, isVersionsFault: true};
    const factor = isSlow ? slowFactor : FAST_FAILURE_PART;
    const tookMs = usualMs * factor;
    return {
      tookMs,
      isFailure: !isSlow || isGeneral,
      isVersionsFault: true,
    };
  }
}

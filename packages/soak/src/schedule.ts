/** Draws the faults of one soak from its seed. */
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

export type Draw = (from: number, to: number) => number;

/** Whole numbers of a range, both ends included, from a seed. */
export function createDraw(seed: number): Draw {
  const random = xoroshiro128plus(seed);
  return (from, to) => uniformInt(random, from, to);
}

export const pick = <T>(draw: Draw, items: readonly T[]): T =>
  items[draw(0, items.length - 1)]!;

const PERCENT = 100;

/** Whether something happens that does in this many of a hundred cases. */
export const chance = (draw: Draw, percent: number): boolean =>
  draw(1, PERCENT) <= percent;

/** How a link is cut: silent links hold all bytes until they heal. */
export type CutKind = 'silent' | 'reset' | 'refused';

export type Fault =
  | {readonly kind: 'stop_entry'; readonly entry: number}
  | {readonly kind: 'kill_entry'; readonly entry: number}
  | {readonly kind: 'stop_control'; readonly control: number}
  | {readonly kind: 'kill_control'; readonly control: number}
  | {readonly kind: 'reload'; readonly daemon: number}
  | {readonly kind: 'pause'; readonly daemon: number}
  | {readonly kind: 'change_config'}
  | {readonly kind: 'zone_out'; readonly zone: number}
  | {readonly kind: 'target_leaves'; readonly target: number}
  | {readonly kind: 'target_crashes'; readonly target: number}
  | {readonly kind: 'target_silent'; readonly target: number}
  | {readonly kind: 'target_odd'; readonly target: number}
  | {
      readonly kind: 'cut';
      readonly daemon: number;
      readonly toward: 'targets' | 'controls';
      readonly how: CutKind;
      /** Part of the links, in per cent. */
      readonly percent: number;
      /** Whether open connections stay. */
      readonly keepsLive: boolean;
    }
  | {
      /** These entries reach no target. */
      readonly kind: 'cut_off';
      readonly entries: readonly number[];
      readonly how: CutKind;
      readonly keepsLive: boolean;
    }
  /** The daemon is stopped and started with another build. */
  | {
      readonly kind: 'upgrade_entry' | 'upgrade_control';
      readonly daemon: number;
      readonly to: Build;
    };

/** The program under test, or the one with which a soak of upgrades begins. */
export type Build = 'earlier' | 'tested';

export interface PlannedFault {
  readonly atMs: number;
  readonly forMs: number;
  readonly fault: Fault;
}

export interface SoakShape {
  readonly entries: number;
  readonly controls: number;
  readonly zones: number;
  readonly targets: number;
}

const PAUSE_MIN_MS = 50;
const PAUSE_MAX_MS = 500;
const FAULT_MIN_MS = 300;
const FAULT_MAX_MS = 2_500;
/** Longer than others, since the checks leave out the start of a cut-off. */
const CUT_OFF_MIN_MS = 5_000;
const CUT_OFF_MAX_MS = 8_000;
const CUT_OFF_PAUSE_MAX_MS = 1_500;
/** The last cut-off goes on for this long after the other faults. */
const CUT_OFF_CALM_MS = 6_000;
const CUT_KINDS = ['silent', 'reset', 'refused'] as const;
/** Every third seed plays planned work only. */
const PLANNED_SEEDS = 3;

/** Whether a fault is planned work or no disruption of a process or link. */
export function isPlannedFault({kind}: Fault): boolean {
  switch (kind) {
    case 'stop_entry':
    case 'upgrade_entry':
    case 'reload':
    case 'change_config':
    case 'zone_out':
    case 'target_leaves':
    case 'target_silent':
      return true;
    default:
      return false;
  }
}

function faultSources(draw: Draw, shape: SoakShape): Array<() => Fault> {
  const {entries, controls, zones, targets} = shape;
  const target = () => draw(0, targets - 1);
  const daemon = () => draw(0, entries + controls - 1);
  let nextStop = draw(0, entries - 1);
  return [
    () => ({kind: 'stop_entry', entry: (nextStop += 1) % entries}),
    () => ({kind: 'reload', daemon: daemon()}),
    () => ({kind: 'change_config'}),
    () => ({kind: 'zone_out', zone: draw(0, zones - 1)}),
    () => ({kind: 'target_leaves', target: target()}),
    () => ({kind: 'target_silent', target: target()}),
    () => ({kind: 'kill_entry', entry: draw(0, entries - 1)}),
    () => ({kind: 'stop_control', control: draw(0, controls - 1)}),
    () => ({kind: 'kill_control', control: draw(0, controls - 1)}),
    () => ({kind: 'pause', daemon: daemon()}),
    () => ({kind: 'target_crashes', target: target()}),
    () => ({kind: 'target_odd', target: target()}),
    () => ({
      kind: 'cut',
      ...pick(draw, [
        () => ({toward: 'targets' as const, daemon: draw(0, entries - 1)}),
        () => ({toward: 'controls' as const, daemon: daemon()}),
      ])(),
      how: pick(draw, CUT_KINDS),
      percent: pick(draw, [30, 60, 100]),
      keepsLive: draw(0, 1) === 1,
    }),
  ];
}

/** Cut-offs have draws of their own; the other faults do not depend on them. */
const CUT_OFF_SEED_OFFSET = 4;
/** Number of sources, from the first, that draw planned work. */
const PLANNED_SOURCES = 6;

function drawCutOff(draw: Draw, {entries}: SoakShape): Fault {
  const all = Array.from({length: entries}, (_, i) => i);
  const one = pick(draw, all);
  return {
    kind: 'cut_off',
    entries: pick(draw, [[one], all.filter(entry => entry !== one)]),
    how: pick(draw, CUT_KINDS),
    keepsLive: draw(0, 1) === 1,
  };
}

/** Cut-offs one after another; the last one outlasts the other faults. */
function drawCutOffs(
  draw: Draw,
  durationMs: number,
  shape: SoakShape,
): readonly PlannedFault[] {
  if (shape.entries < 2) return [];
  const faults: PlannedFault[] = [];
  const lastStartMs = durationMs - FAULT_MAX_MS;
  const endsAtMs = durationMs + CUT_OFF_CALM_MS;
  let atMs = draw(PAUSE_MIN_MS, CUT_OFF_PAUSE_MAX_MS);
  while (atMs < lastStartMs) {
    const spanMs = draw(CUT_OFF_MIN_MS, CUT_OFF_MAX_MS);
    const forMs = Math.min(spanMs, lastStartMs - atMs);
    faults.push({atMs, forMs, fault: drawCutOff(draw, shape)});
    atMs += forMs + draw(PAUSE_MIN_MS, CUT_OFF_PAUSE_MAX_MS);
  }
  const forMs = endsAtMs - atMs;
  return [...faults, {atMs, forMs, fault: drawCutOff(draw, shape)}];
}

/**
 * The faults of this seed, in order. All but the last cut-off heal within
 * `durationMs`.
 */
export function drawSchedule(
  seed: number,
  durationMs: number,
  shape: SoakShape,
): readonly PlannedFault[] {
  const draw = createDraw(seed);
  const all = faultSources(draw, shape);
  const isPlannedOnly = seed % PLANNED_SEEDS === 0;
  const sources = isPlannedOnly ? all.slice(0, PLANNED_SOURCES) : all;
  const faults: PlannedFault[] = [];
  const lastStartMs = durationMs - FAULT_MAX_MS;
  let atMs = draw(PAUSE_MIN_MS, PAUSE_MAX_MS);
  while (atMs <= lastStartMs) {
    const fault = pick(draw, sources)();
    faults.push({atMs, forMs: draw(FAULT_MIN_MS, FAULT_MAX_MS), fault});
    atMs += draw(PAUSE_MIN_MS, PAUSE_MAX_MS);
  }
  if (isPlannedOnly) return faults;
  const cutOffDraw = createDraw(seed + CUT_OFF_SEED_OFFSET);
  const cutOffs = drawCutOffs(cutOffDraw, durationMs, shape);
  return [...faults, ...cutOffs].sort((a, b) => a.atMs - b.atMs);
}

/** A part of the upgraded daemons goes back to the earlier build once. */
const DOWNGRADE_PERCENT = 25;
const UPGRADE_SEED_OFFSET = 5;

/** Each daemon gets the tested build, one after another, in a drawn order. */
export function drawUpgrades(
  seed: number,
  durationMs: number,
  {entries, controls}: SoakShape,
): readonly PlannedFault[] {
  const draw = createDraw(seed + UPGRADE_SEED_OFFSET);
  const waiting = Array.from({length: entries + controls}, (_, i) => i);
  const steps: Array<{daemon: number; to: Build}> = [];
  while (waiting.length > 0) {
    const [daemon] = waiting.splice(draw(0, waiting.length - 1), 1);
    steps.push({daemon: daemon!, to: 'tested'});
    if (!chance(draw, DOWNGRADE_PERCENT)) continue;
    steps.push(
      {daemon: daemon!, to: 'earlier'},
      {daemon: daemon!, to: 'tested'},
    );
  }
  return steps.map((step, i) => ({
    atMs: (durationMs * (i + 1)) / (steps.length + 1),
    forMs: 0,
    fault: {
      kind: step.daemon < entries ? 'upgrade_entry' : 'upgrade_control',
      ...step,
    },
  }));
}

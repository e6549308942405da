/**
 * Prints what callers get from targets of uneven speed, with and without the
 * table of target loads. Arguments: the number of seeds; default 3.
 */
import {
  figuresOf,
  playPlainTargets,
  playScenario,
  UNEVEN,
  UNEVEN_PLAIN,
  type Unevenness,
} from './reservations/index.js';

const ENGINE_COUNTS = [36, 40, 44];
const RATES_PER_S = [800, 1_400];
const DEFAULT_SEEDS = 3;
const PCT = 100;

const seedCount = Number(process.argv[2] ?? DEFAULT_SEEDS);
const seeds = Array.from({length: seedCount}, (_, i) => i + 1);

type Figures = Readonly<Record<string, number>>;

function print(what: string, {usesTable, statesSteadyPace}: Unevenness) {
  const pace = statesSteadyPace ? 'whole pace' : 'slowdowns only';
  return (figures: readonly Figures[]) => {
    const mean = (key: string) =>
      figures.reduce((sum, item) => sum + item[key]!, 0) / figures.length;
    const parts = Object.keys(figures[0]!).map(
      key => `${key}=${mean(key).toFixed(1)}`,
    );
    const table = usesTable ? 'table' : 'none';
    process.stdout.write(`${what} ${pace} ${table}: ${parts.join(' ')}\n`);
  };
}

function playEngines(engines: number, unevenness: Unevenness): void {
  const figures = seeds.map(seed => {
    const played = playScenario({...UNEVEN, engines, unevenness}, seed);
    const {classes, preemptions} = figuresOf(played);
    const shares = classes.map(({name, shares: {in_time: inTime}}) => [
      `${name}_in_time_pct`,
      inTime * PCT,
    ]);
    return {...Object.fromEntries(shares), preemptions} as Figures;
  });
  print(`engines=${engines}`, unevenness)(figures);
}

function playPlain(perS: number, unevenness: Unevenness): void {
  const figures = seeds.map(seed => {
    const played = playPlainTargets({...UNEVEN_PLAIN, perS, unevenness}, seed);
    return {
      in_time_pct: played.inTime * PCT,
      other_zone_pct: played.otherZone * PCT,
      p50_ms: played.p50Ms,
      p99_ms: played.p99Ms,
    };
  });
  print(`per_s=${perS}`, unevenness)(figures);
}

for (const statesSteadyPace of [true, false]) {
  for (const usesTable of [false, true]) {
    const changed = {statesSteadyPace, usesTable};
    for (const engines of ENGINE_COUNTS)
      playEngines(engines, {...UNEVEN.unevenness!, ...changed});
    for (const perS of RATES_PER_S)
      playPlain(perS, {...UNEVEN_PLAIN.unevenness, ...changed});
  }
}

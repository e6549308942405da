/**
 * Plays every kind of version over many seeds and prints the worst figures:
 *
 *   node packages/replay/dist/rollouts/table.js [SEEDS]
 */
import {argv, stdout} from 'node:process';
import {
  BAD_KINDS,
  drawScenario,
  GOOD_KINDS,
  type Kind,
  type Size,
} from './scenario.js';
import {LIMITS, playRollout, type Outcome} from './play.js';

const DEFAULT_SEEDS = 50;
const SIZES: readonly Size[] = [{entries: 9}, {entries: 70}];

interface Row {
  readonly completed: number;
  readonly rolledBack: number;
  readonly late: number;
  readonly worstShare: number;
  /** Highest part of the requests that the limit allows. */
  readonly worstOfLimit: number;
  readonly worstAfterMs: number;
}

function limitOf({requests}: Outcome): number {
  return LIMITS.exposeShare * requests + LIMITS.exposeSlack;
}

export function rowOf(
  outcomes: readonly Outcome[],
  durationsMs: readonly number[],
): Row {
  const count = (state: Outcome['state']) =>
    outcomes.filter(item => item.state === state).length;
  const late = outcomes.filter(
    ({endedAtMs}, index) => (endedAtMs ?? Infinity) > durationsMs[index]!,
  );
  const most = (value: (outcome: Outcome) => number) =>
    Math.max(...outcomes.map(value));
  return {
    completed: count('completed'),
    rolledBack: count('rolled_back'),
    late: late.length,
    worstShare: most(({exposed, requests}) => exposed / requests),
    worstOfLimit: most(outcome => outcome.exposed / limitOf(outcome)),
    worstAfterMs: most(({lastSentAfterMs}) => lastSentAfterMs),
  };
}

function playKind(kind: Kind, size: Size, seeds: number): Row {
  const scenarios = Array.from({length: seeds}, (_, index) =>
    drawScenario(kind, index + 1, size),
  );
  const outcomes = scenarios.map(scenario => {
    const outcome = playRollout(scenario);
    if (argv.includes('--all')) {
      const line = JSON.stringify({
        outcome,
        of: outcome.exposed / limitOf(outcome),
        scenario,
      });
      stdout.write(`${line}\n`);
    }
    return outcome;
  });
  return rowOf(
    outcomes,
    scenarios.map(({durationMs}) => durationMs),
  );
}

function format(kind: Kind, {entries}: Size, row: Row, seeds: number): string {
  const isBad = (BAD_KINDS as readonly Kind[]).includes(kind);
  const cells = [
    kind.replaceAll('_', ' '),
    entries,
    `${row.completed} / ${row.rolledBack}`,
    row.late,
    isBad ? row.worstShare.toFixed(3) : '-',
    isBad ? row.worstOfLimit.toFixed(2) : '-',
    isBad ? Math.round(row.worstAfterMs) : '-',
  ];
  return `| ${cells.join(' | ')} |${seeds < DEFAULT_SEEDS ? ` ${seeds} seeds` : ''}\n`;
}

function main(): void {
  const seeds = Number(argv[2] ?? DEFAULT_SEEDS);
  const only = argv[3];
  stdout.write(
    '| version | entries | completed / rolled back | after the deadline | worst share | worst part of the limit | last request after the 50th bad response, ms |\n',
  );
  stdout.write('| --- | --- | --- | --- | --- | --- | --- |\n');
  for (const kind of [...BAD_KINDS, ...GOOD_KINDS]) {
    if (only && !only.startsWith('--') && only !== kind) continue;
    for (const size of SIZES) {
      const row = playKind(kind, size, seeds);
      stdout.write(format(kind, size, row, seeds));
    }
  }
}

main();

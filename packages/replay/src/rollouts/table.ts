/**
 * Plays kinds of versions, all by default, over many seeds and prints the worst
 * figures; --all prints each play as well. SEEDS is the number of seeds:
 *
 *   node packages/replay/dist/rollouts/table.js [SEEDS [KIND...]]
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
  /** Highest number of exposed requests, as a part of the limit. */
  readonly worstOfLimit: number;
  /** Plays with more exposed requests than the limit. */
  readonly overLimit: number;
  readonly worstAfterMs: number;
  readonly overTime: number;
}

function limitOf({requests}: Outcome): number {
  return LIMITS.exposeShare * requests + LIMITS.exposeSlack;
}

function rowOf(
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
    overLimit: outcomes.filter(item => item.exposed > limitOf(item)).length,
    overTime: outcomes.filter(
      ({lastSentAfterMs}) => lastSentAfterMs > LIMITS.rollbackMs,
    ).length,
    worstAfterMs: most(({lastSentAfterMs}) => lastSentAfterMs),
  };
}

function playKind(kind: Kind, size: Size, seeds: number): Row {
  const scenarios = Array.from({length: seeds}, (_, index) =>
    drawScenario(kind, index + 1, size),
  );
  const outcomes = scenarios.map(scenario => {
    const outcome = playRollout(scenario);
    const of = outcome.exposed / limitOf(outcome);
    if (argv.includes('--all'))
      stdout.write(`${JSON.stringify({outcome, of, scenario})}\n`);
    return outcome;
  });
  return rowOf(
    outcomes,
    scenarios.map(({durationMs}) => durationMs),
  );
}

function format(kind: Kind, {entries}: Size, row: Row): string {
  const isBad = (BAD_KINDS as readonly Kind[]).includes(kind);
  const cells = [
    kind.replaceAll('_', ' '),
    entries,
    `${row.completed} / ${row.rolledBack}`,
    row.late,
    isBad ? row.worstShare.toFixed(3) : '-',
    isBad ? row.worstOfLimit.toFixed(2) : '-',
    isBad ? row.overLimit : '-',
    isBad ? Math.round(row.worstAfterMs) : '-',
    isBad ? row.overTime : '-',
  ];
  return `| ${cells.join(' | ')} |\n`;
}

function main(): void {
  const [seedsText = DEFAULT_SEEDS, ...asked] = argv
    .slice(2)
    .filter(arg => !arg.startsWith('--'));
  const titles = [
    'version',
    'entries',
    'completed / rolled back',
    'after the deadline',
    'worst share',
    'worst part of the limit',
    'plays over it',
    'last request after the 50th bad response, ms',
    'plays over 5,000 ms',
  ];
  stdout.write(`| ${titles.join(' | ')} |\n`);
  stdout.write(`|${' --- |'.repeat(titles.length)}\n`);
  for (const kind of [...BAD_KINDS, ...GOOD_KINDS]) {
    if (asked.length > 0 && !asked.includes(kind)) continue;
    for (const size of SIZES)
      stdout.write(format(kind, size, playKind(kind, size, Number(seedsText))));
  }
}

main();

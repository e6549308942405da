/**
 * Replays traces of both deployments and compares all policies at three loads
 * over many seeds; also replays a zone outage and return under the daemon's policy.
 * Prints tables; --out also writes charts.
 *
 *   npm run replay:compare -- --seeds 20 [--out docs/measurements]
 */
import {mkdirSync, writeFileSync} from 'node:fs';
import {availableParallelism} from 'node:os';
import {join} from 'node:path';
import {parseArgs} from 'node:util';
import {isMainThread, parentPort, Worker} from 'node:worker_threads';
import {fileURLToPath} from 'node:url';
import * as echarts from 'echarts';
import {generateTrace, POLICIES, replay} from '@samphirefield/replay';

const LOADS = [0.7, 0.9, 1.1];
const ZONE_LOAD = 0.5;
const DURATION_MS = 180_000;
const ZONE_DURATION_MS = 240_000;
const MAX_WORKERS = 6;
const SATURATING_RPS = {tembusu: 40, botenbeurs: 60};
const BASELINES = ['round_robin', 'least_load', 'power_of_two'];

async function runTask(task) {
  const {deployment, seed, rps, policy, hasZoneOut} = task;
  const durationMs = hasZoneOut ? ZONE_DURATION_MS : DURATION_MS;
  const trace = generateTrace({
    deployment,
    seed,
    requestsPerS: rps,
    durationMs,
    hasZoneOut,
  });
  return {...task, figures: await replay(trace, policy, seed)};
}

/** Runs tasks on up to six threads; returns the results in the order of the tasks. */
async function runAll(tasks) {
  const results = new Array(tasks.length);
  let next = 0;
  const workers = Math.min(MAX_WORKERS, availableParallelism(), tasks.length);
  await Promise.all(
    Array.from(
      {length: workers},
      () =>
        new Promise((resolve, reject) => {
          const worker = new Worker(fileURLToPath(import.meta.url));
          const sendNextTask = () => {
            if (next >= tasks.length) {
              void worker.terminate();
              resolve();
              return;
            }
            worker.postMessage({index: next, task: tasks[next]});
            next += 1;
          };
          worker.on('message', ({index, result}) => {
            results[index] = result;
            sendNextTask();
          });
          worker.on('error', reject);
          sendNextTask();
        }),
    ),
  );
  return results;
}

/** Returns the engines' capacity in requests per second: their throughput when saturated. */
async function measureCapacityRps(deployment) {
  const options = {
    deployment,
    seed: 9_999,
    requestsPerS: SATURATING_RPS[deployment],
    durationMs: 120_000,
    hasZoneOut: false,
  };
  const trace = generateTrace(options);
  const figures = await replay(trace, 'least_load', 1);
  const tokens = trace.lines.reduce((sum, line) => sum + line.output_tokens, 0);
  return figures.tokensPerS / (tokens / trace.lines.length);
}

const mean = values =>
  values.reduce((sum, value) => sum + value, 0) / values.length;

/** Returns the mean figures over the seeds for each deployment, load and policy. */
function summarize(results) {
  const rows = [];
  for (const deployment of ['tembusu', 'botenbeurs']) {
    for (const load of LOADS) {
      for (const policy of Object.keys(POLICIES)) {
        const figures = results
          .filter(
            item =>
              item.deployment === deployment &&
              item.load === load &&
              item.policy === policy,
          )
          .map(item => item.figures);
        const meanOf = key => mean(figures.map(item => item[key]));
        rows.push({
          deployment,
          load,
          policy,
          goodput: meanOf('goodputTokensPerS'),
          stallS: meanOf('stallS'),
          preemptions: meanOf('preemptions'),
          firstTokenP50Ms: meanOf('firstTokenP50Ms'),
          firstTokenP99Ms: meanOf('firstTokenP99Ms'),
          betweenTokensP99Ms: meanOf('betweenTokensP99Ms'),
          lost: meanOf('lost'),
          shed: meanOf('shed'),
          aboveBearing: meanOf('aboveBearing'),
        });
      }
    }
  }
  return rows;
}

/** Returns the daemon's figures as ratios to the best baseline's. */
function ratios(rows) {
  const daemonRows = rows.filter(row => row.policy === 'samphirefield');
  return daemonRows.map(row => {
    const baselines = rows.filter(
      other =>
        other.deployment === row.deployment &&
        other.load === row.load &&
        BASELINES.includes(other.policy),
    );
    const least = key => Math.min(...baselines.map(other => other[key]));
    const ratio = (value, best) =>
      best === 0 ? (value === 0 ? 0 : Infinity) : value / best;
    return {
      deployment: row.deployment,
      load: row.load,
      goodput: row.goodput / Math.max(...baselines.map(other => other.goodput)),
      stall: ratio(row.stallS, least('stallS')),
      preemptions: ratio(row.preemptions, least('preemptions')),
      betweenTokensP99: ratio(
        row.betweenTokensP99Ms,
        least('betweenTokensP99Ms'),
      ),
    };
  });
}

const digits = (value, count = 1) =>
  Number.isFinite(value) ? value.toFixed(count) : 'none';

/** Formats a Markdown table. */
function table(header, rows) {
  return [
    `| ${header.join(' | ')} |`,
    `| ${header.map(() => '---').join(' | ')} |`,
    ...rows.map(row => `| ${row.join(' | ')} |`),
  ].join('\n');
}

/** Returns a bar chart of one figure over the loads as SVG text. */
function plot(rows, deployment, key, title) {
  const chart = echarts.init(null, null, {
    renderer: 'svg',
    ssr: true,
    width: 640,
    height: 360,
  });
  chart.setOption({
    animation: false,
    title: {text: title, left: 'center', textStyle: {fontSize: 14}},
    legend: {bottom: 0},
    xAxis: {
      type: 'category',
      name: 'load',
      data: LOADS.map(load => `${load * 100} %`),
    },
    yAxis: {type: 'value'},
    series: Object.keys(POLICIES).map(policy => ({
      name: policy,
      type: 'bar',
      data: LOADS.map(load =>
        Number(
          rows
            .find(
              row =>
                row.deployment === deployment &&
                row.load === load &&
                row.policy === policy,
            )
            [key].toFixed(2),
        ),
      ),
    })),
  });
  return chart.renderToSVGString();
}

async function main() {
  const {values} = parseArgs({
    options: {seeds: {type: 'string', default: '20'}, out: {type: 'string'}},
  });
  const seeds = Number(values.seeds);
  const tasks = [];
  for (const deployment of ['tembusu', 'botenbeurs']) {
    const capacityRps = await measureCapacityRps(deployment);
    console.log(
      `${deployment}: the engines can handle ${digits(capacityRps, 2)} requests per second`,
    );
    for (let seed = 1; seed <= seeds; seed += 1) {
      for (const policy of Object.keys(POLICIES)) {
        for (const load of LOADS)
          tasks.push({
            deployment,
            seed,
            load,
            rps: capacityRps * load,
            policy,
            hasZoneOut: false,
          });
      }
      tasks.push({
        deployment,
        seed,
        load: 'zone',
        rps: capacityRps * ZONE_LOAD,
        policy: 'samphirefield',
        hasZoneOut: true,
      });
    }
  }
  const results = await runAll(tasks);
  const rows = summarize(results);
  const text = [
    table(
      [
        'deployment',
        'load',
        'policy',
        'goodput tokens/s',
        'stall s',
        'preemptions',
        'first token p50 ms',
        'p99 ms',
        'between tokens p99 ms',
      ],
      rows.map(row => [
        row.deployment,
        row.load,
        row.policy,
        digits(row.goodput, 0),
        digits(row.stallS),
        digits(row.preemptions),
        digits(row.firstTokenP50Ms, 0),
        digits(row.firstTokenP99Ms, 0),
        digits(row.betweenTokensP99Ms),
      ]),
    ),
    '',
    table(
      [
        'deployment',
        'load',
        'goodput over best',
        'stall over best',
        'preemptions over best',
        'p99 between tokens over best',
      ],
      ratios(rows).map(row => [
        row.deployment,
        row.load,
        digits(row.goodput, 3),
        digits(row.stall, 3),
        digits(row.preemptions, 3),
        digits(row.betweenTokensP99, 3),
      ]),
    ),
    '',
    zoneTable(results),
  ].join('\n');
  console.log(text);
  if (values.out) {
    mkdirSync(values.out, {recursive: true});
    writeFileSync(
      join(values.out, 'tembusu-stall.svg'),
      plot(
        rows,
        'tembusu',
        'stallS',
        'Tembusu: stall time, seconds in 3 minutes',
      ),
    );
    writeFileSync(
      join(values.out, 'tembusu-preemptions.svg'),
      plot(rows, 'tembusu', 'preemptions', 'Tembusu: preemptions in 3 minutes'),
    );
    writeFileSync(
      join(values.out, 'botenbeurs-between.svg'),
      plot(
        rows,
        'botenbeurs',
        'betweenTokensP99Ms',
        'Botenbeurs: p99 between tokens, ms',
      ),
    );
  }
}

/** Formats the replays of a zone outage; the ratio is first token p99 during it over steady. */
function zoneTable(results) {
  const rows = ['tembusu', 'botenbeurs'].map(deployment => {
    const figures = results
      .filter(item => item.deployment === deployment && item.hasZoneOut)
      .map(item => item.figures);
    const meanOf = key => mean(figures.map(item => item[key]));
    const worstRatio = Math.max(
      ...figures.map(item => item.zoneFirstTokenP99Ms / item.firstTokenP99Ms),
    );
    return [
      deployment,
      digits(meanOf('lost'), 0),
      digits(meanOf('shed'), 0),
      digits(meanOf('aboveBearing'), 2),
      digits(meanOf('firstTokenP99Ms'), 0),
      digits(meanOf('zoneFirstTokenP99Ms'), 0),
      digits(meanOf('zoneFirstTokenP99Ms') / meanOf('firstTokenP99Ms'), 2),
      digits(worstRatio, 2),
    ];
  });
  return table(
    [
      'zone out and back',
      'lost',
      'shed',
      'over capacity',
      'steady p99 first token ms',
      'p99 during',
      'ratio',
      'worst seed',
    ],
    rows,
  );
}

if (isMainThread) {
  await main();
  // The chart library keeps a timer running, which would keep the process alive.
  process.exit(0);
} else {
  parentPort.on('message', async ({index, task}) => {
    parentPort.postMessage({index, result: await runTask(task)});
  });
}

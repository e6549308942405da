/**
 * npm run bench:entry: what a daemon adds to a stream, and what it carries.
 * Direct to the targets and through one daemon, in one run.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {API_KEY, BenchDeployment, INTERNAL_KEY} from './deployment.js';
import {readProcessUsage} from './processes.js';
import type {LoadReport} from './stream-load.js';

const RATE_PER_S = 65;
const TOKENS_PER_REQUEST = 226;
const INTERVAL_MS = 79;
const SECONDS = 30;
const ROUNDS = 3;
/** Time until as many streams end as begin, and the window after it. */
const RAMP_MS = 19_000;
const STEADY_MS = 10_000;
const WARM_UP_SECONDS = 5;
const TARGETS = 2;
const FLOOD_STREAMS = 16;
const FLOOD_TOKENS = 60_000;
const OPEN_STREAMS = 2_000;
const script = (name: string) =>
  fileURLToPath(new URL(`${name}.js`, import.meta.url));
const round = (value: number, digits = 2) => Number(value.toFixed(digits));

async function startTargets(
  deployment: BenchDeployment,
  count: number,
  intervalMs: number,
): Promise<string[]> {
  const targets = await Promise.all(
    Array.from({length: count}, (_, index) =>
      deployment.processes.startAndReadReport<{url: string}>(
        `target-${intervalMs}-${index}`,
        script('stream-target'),
        [
          `t-${intervalMs}-${index}`,
          INTERNAL_KEY,
          `${intervalMs}`,
          ...deployment.internalUrls,
        ],
      ),
    ),
  );
  await delay(4_500);
  return targets.map(target => target.url);
}

/** Load from one process per target, so that both ways have the same clients. */
async function load(
  deployment: BenchDeployment,
  urls: readonly string[],
  rate: number,
  tokens: number,
  seconds: number,
): Promise<LoadReport[]> {
  return Promise.all(
    urls.map((url, index) =>
      deployment.processes.startAndReadReport<LoadReport>(
        `load-${index}`,
        script('stream-load'),
        [url, API_KEY, `${rate / urls.length}`, `${tokens}`, `${seconds}`],
      ),
    ),
  );
}

function worst(
  reports: readonly LoadReport[],
  kind: 'firstTokenMs' | 'betweenTokensMs',
  quantile: 'p50' | 'p95' | 'p99',
): number {
  return Math.max(...reports.map(report => report[kind][quantile]));
}

const total = (
  reports: readonly LoadReport[],
  key: 'tokens' | 'failures' | 'requests',
) => reports.reduce((sum, report) => sum + report[key], 0);

interface Pair {
  readonly direct: readonly LoadReport[];
  readonly through: readonly LoadReport[];
  readonly cores: number;
}

/** The same load direct and through the daemon, one after the other. */
async function measurePair(
  deployment: BenchDeployment,
  urls: readonly string[],
): Promise<Pair> {
  const daemon = deployment.daemons[0]!;
  const direct = await load(
    deployment,
    urls,
    RATE_PER_S,
    TOKENS_PER_REQUEST,
    SECONDS,
  );
  const viaUrls = urls.map(() => daemon.callersUrl);
  const loading = load(
    deployment,
    viaUrls,
    RATE_PER_S,
    TOKENS_PER_REQUEST,
    SECONDS,
  );
  // From here on all streams of the steady state are open.
  await delay(RAMP_MS);
  const start = {
    cpuSeconds: readProcessUsage(daemon.pid).cpuSeconds,
    at: performance.now(),
  };
  await delay(STEADY_MS);
  const cpuSeconds = readProcessUsage(daemon.pid).cpuSeconds - start.cpuSeconds;
  const cores = (cpuSeconds * 1_000) / (performance.now() - start.at);
  return {direct, through: await loading, cores};
}

function median(values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)]!;
}

async function measureAdded(deployment: BenchDeployment): Promise<object> {
  const urls = await startTargets(deployment, TARGETS, INTERVAL_MS);
  const viaUrls = urls.map(() => deployment.daemons[0]!.callersUrl);
  await load(
    deployment,
    viaUrls,
    RATE_PER_S,
    TOKENS_PER_REQUEST,
    WARM_UP_SECONDS,
  );
  const pairs: Pair[] = [];
  for (let round = 0; round < ROUNDS; round += 1) {
    pairs.push(await measurePair(deployment, urls));
  }
  const quantile = (
    way: 'direct' | 'through',
    kind: 'firstTokenMs' | 'betweenTokensMs',
    q: 'p50' | 'p99',
  ) => round(median(pairs.map(pair => worst(pair[way], kind, q))));
  const added = pairs.map(
    pair =>
      worst(pair.through, 'betweenTokensMs', 'p99') -
      worst(pair.direct, 'betweenTokensMs', 'p99'),
  );
  return {
    rounds: ROUNDS,
    requests_per_s: RATE_PER_S,
    tokens_per_s: round(RATE_PER_S * TOKENS_PER_REQUEST, 0),
    failures: pairs.reduce(
      (sum, pair) =>
        sum + total(pair.direct, 'failures') + total(pair.through, 'failures'),
      0,
    ),
    first_token_direct_p50_ms: quantile('direct', 'firstTokenMs', 'p50'),
    first_token_through_p50_ms: quantile('through', 'firstTokenMs', 'p50'),
    first_token_direct_p99_ms: quantile('direct', 'firstTokenMs', 'p99'),
    first_token_through_p99_ms: quantile('through', 'firstTokenMs', 'p99'),
    between_direct_p99_ms: quantile('direct', 'betweenTokensMs', 'p99'),
    between_through_p99_ms: quantile('through', 'betweenTokensMs', 'p99'),
    added_between_p99_ms_by_round: added.map(value => round(value)),
    added_between_p99_ms: round(median(added)),
    daemon_cores_at_full_load: round(median(pairs.map(pair => pair.cores))),
    resident_mb: round(
      readProcessUsage(deployment.daemons[0]!.pid).residentBytes / 1_048_576,
      0,
    ),
  };
}

async function measureSaturation(): Promise<object> {
  const deployment = await BenchDeployment.start({voters: 1, entries: 0});
  try {
    const [url] = await startTargets(deployment, 1, 0);
    const [daemon] = deployment.daemons;
    const direct = await load(
      deployment,
      [url!],
      FLOOD_STREAMS,
      FLOOD_TOKENS,
      1,
    );
    const before = readProcessUsage(daemon!.pid);
    const via = await load(
      deployment,
      [daemon!.callersUrl],
      FLOOD_STREAMS,
      FLOOD_TOKENS,
      1,
    );
    const cpuSeconds =
      readProcessUsage(daemon!.pid).cpuSeconds - before.cpuSeconds;
    return {
      tokens: total(via, 'tokens'),
      failures: total(via, 'failures'),
      direct_tokens_per_s: round(direct[0]!.tokens / direct[0]!.seconds, 0),
      through_tokens_per_s: round(via[0]!.tokens / via[0]!.seconds, 0),
      tokens_per_core_second: round(total(via, 'tokens') / cpuSeconds, 0),
    };
  } finally {
    await deployment.close();
  }
}

async function measureMemory(): Promise<object> {
  const deployment = await BenchDeployment.start({voters: 1, entries: 0});
  try {
    await startTargets(deployment, 1, 1_000);
    const [daemon] = deployment.daemons;
    const before = readProcessUsage(daemon!.pid).residentBytes;
    const loading = load(
      deployment,
      [daemon!.callersUrl],
      OPEN_STREAMS / 8,
      12,
      8,
    );
    await delay(13_000);
    const open = readProcessUsage(daemon!.pid).residentBytes;
    const reports = await loading;
    return {
      open_streams: OPEN_STREAMS,
      failures: total(reports, 'failures'),
      resident_before_mb: round(before / 1_048_576, 0),
      resident_open_mb: round(open / 1_048_576, 0),
      bytes_per_stream: round((open - before) / OPEN_STREAMS, 0),
    };
  } finally {
    await deployment.close();
  }
}

async function main(): Promise<void> {
  const deployment = await BenchDeployment.start({voters: 1, entries: 0});
  let added: object;
  try {
    added = await measureAdded(deployment);
  } finally {
    await deployment.close();
  }
  const saturation = await measureSaturation();
  const memory = await measureMemory();
  process.stdout.write(
    `${JSON.stringify({added, saturation, memory}, null, 2)}\n`,
  );
}

await main();

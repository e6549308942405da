/**
 * npm run bench:entry: measures the latency that a daemon adds to a stream, its
 * throughput and its memory per open stream. The same run sends the load directly
 * to the targets and through one daemon.
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
/** Time until as many streams end as begin; the CPU time is measured after it. */
const RAMP_MS = 19_000;
const STEADY_MS = 10_000;
const WARM_UP_SECONDS = 5;
const TARGETS = 2;
const FLOOD_STREAMS = 16;
const FLOOD_TOKENS = 60_000;
const OPEN_STREAMS = 2_000;
const scriptPath = (name: string) =>
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
        scriptPath('stream-target'),
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

/** Runs one load process per URL, so that both routes have the same number of clients. */
async function runLoad(
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
        scriptPath('stream-load'),
        [url, API_KEY, `${rate / urls.length}`, `${tokens}`, `${seconds}`],
      ),
    ),
  );
}

/** Returns the greatest of the reports' quantiles. */
function maxQuantile(
  reports: readonly LoadReport[],
  kind: 'firstTokenMs' | 'betweenTokensMs',
  quantile: 'p50' | 'p95' | 'p99',
): number {
  return Math.max(...reports.map(report => report[kind][quantile]));
}

const sumOf = (
  reports: readonly LoadReport[],
  key: 'tokens' | 'failures' | 'requests',
) => reports.reduce((sum, report) => sum + report[key], 0);

/** Reports of the same load directly and through the daemon. */
interface LoadPair {
  readonly direct: readonly LoadReport[];
  readonly through: readonly LoadReport[];
  /** CPU cores that the daemon used in the steady window. */
  readonly cores: number;
}

/** Runs the same load directly and then through the daemon. */
async function measureLoadPair(
  deployment: BenchDeployment,
  urls: readonly string[],
): Promise<LoadPair> {
  const daemon = deployment.daemons[0]!;
  const direct = await runLoad(
    deployment,
    urls,
    RATE_PER_S,
    TOKENS_PER_REQUEST,
    SECONDS,
  );
  const throughUrls = urls.map(() => daemon.callersUrl);
  const loading = runLoad(
    deployment,
    throughUrls,
    RATE_PER_S,
    TOKENS_PER_REQUEST,
    SECONDS,
  );
  // The number of open streams is now steady.
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

/** Measures the latency that the daemon adds, as the median of the rounds. */
async function measureAddedLatency(
  deployment: BenchDeployment,
): Promise<object> {
  const urls = await startTargets(deployment, TARGETS, INTERVAL_MS);
  const throughUrls = urls.map(() => deployment.daemons[0]!.callersUrl);
  await runLoad(
    deployment,
    throughUrls,
    RATE_PER_S,
    TOKENS_PER_REQUEST,
    WARM_UP_SECONDS,
  );
  const pairs: LoadPair[] = [];
  for (let round = 0; round < ROUNDS; round += 1) {
    pairs.push(await measureLoadPair(deployment, urls));
  }
  const quantile = (
    route: 'direct' | 'through',
    kind: 'firstTokenMs' | 'betweenTokensMs',
    q: 'p50' | 'p99',
  ) => round(median(pairs.map(pair => maxQuantile(pair[route], kind, q))));
  const added = pairs.map(
    pair =>
      maxQuantile(pair.through, 'betweenTokensMs', 'p99') -
      maxQuantile(pair.direct, 'betweenTokensMs', 'p99'),
  );
  return {
    rounds: ROUNDS,
    requests_per_s: RATE_PER_S,
    tokens_per_s: round(RATE_PER_S * TOKENS_PER_REQUEST, 0),
    failures: pairs.reduce(
      (sum, pair) =>
        sum + sumOf(pair.direct, 'failures') + sumOf(pair.through, 'failures'),
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

/** Measures the throughput of unpaced streams. */
async function measureSaturation(): Promise<object> {
  const deployment = await BenchDeployment.start({voters: 1, entries: 0});
  try {
    const [url] = await startTargets(deployment, 1, 0);
    const [daemon] = deployment.daemons;
    const direct = await runLoad(
      deployment,
      [url!],
      FLOOD_STREAMS,
      FLOOD_TOKENS,
      1,
    );
    const before = readProcessUsage(daemon!.pid);
    const through = await runLoad(
      deployment,
      [daemon!.callersUrl],
      FLOOD_STREAMS,
      FLOOD_TOKENS,
      1,
    );
    const cpuSeconds =
      readProcessUsage(daemon!.pid).cpuSeconds - before.cpuSeconds;
    return {
      tokens: sumOf(through, 'tokens'),
      failures: sumOf(through, 'failures'),
      direct_tokens_per_s: round(direct[0]!.tokens / direct[0]!.seconds, 0),
      through_tokens_per_s: round(through[0]!.tokens / through[0]!.seconds, 0),
      tokens_per_core_second: round(sumOf(through, 'tokens') / cpuSeconds, 0),
    };
  } finally {
    await deployment.close();
  }
}

/** Measures the daemon's resident memory per open stream. */
async function measureMemory(): Promise<object> {
  const deployment = await BenchDeployment.start({voters: 1, entries: 0});
  try {
    await startTargets(deployment, 1, 1_000);
    const [daemon] = deployment.daemons;
    const before = readProcessUsage(daemon!.pid).residentBytes;
    const loading = runLoad(
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
      failures: sumOf(reports, 'failures'),
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
    added = await measureAddedLatency(deployment);
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

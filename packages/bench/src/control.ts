/**
 * npm run bench:control: measures the control group and, in the same run, the
 * bare disk: commit latency, throughput of group commit, failover time, time
 * until a change is active, and the cost per daemon as their number grows.
 */
import {randomUUID} from 'node:crypto';
import {
  closeSync,
  fdatasyncSync,
  openSync,
  readFileSync,
  writeSync,
} from 'node:fs';
import {join} from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {build} from 'hdr-histogram-js';
import {RpcClient, type PeerAddress} from '@samphirefield/daemon';
import {baseRules, BenchDeployment, INTERNAL_KEY} from './deployment.js';
import {readProcessUsage, waitFor} from './processes.js';

const MICROS_PER_MS = 1_000;
const LATENCY_ROUNDS = 1_500;
/** Size of a record in the measurement of the bare disk. */
const RECORD_BYTES = 300;
const THROUGHPUT_SECONDS = 6;
const THROUGHPUT_IN_FLIGHT = 256;
const FAILOVERS = 6;
const ELECTION_TIMEOUT_MS = 500;
const CHANGES = 40;
const SLOPE_DAEMONS = [5, 10, 20, 40];
const SLOPE_SECONDS = 15;
const SECONDS_PER_DAY = 86_400;
const CHANGES_PER_DAY = 2_100;
const round = (value: number, digits = 2) => Number(value.toFixed(digits));

type Histogram = ReturnType<typeof build>;
const newHistogram = () => build({highestTrackableValue: 100_000_000});
const quantileMs = (histogram: Histogram, quantile: number) =>
  round(histogram.getValueAtPercentile(quantile) / MICROS_PER_MS, 3);

async function recordDuration(
  histogram: Histogram,
  run: () => Promise<unknown>,
): Promise<void> {
  const startedAt = performance.now();
  await run();
  histogram.recordValue(
    Math.round((performance.now() - startedAt) * MICROS_PER_MS),
  );
}

/** Measures appending and syncing one record, without the daemon. */
async function measureFsync(folder: string): Promise<Histogram> {
  const histogram = newHistogram();
  const handle = openSync(join(folder, 'bare-fsync'), 'a');
  const record = Buffer.alloc(RECORD_BYTES, 1);
  for (let round = 0; round < LATENCY_ROUNDS; round += 1) {
    await recordDuration(histogram, async () => {
      writeSync(handle, record);
      fdatasyncSync(handle);
    });
  }
  closeSync(handle);
  return histogram;
}

/** Returns a ledger command that claims a key. */
function claimCommand(key: string): object {
  return {
    kind: 'claim',
    key,
    claimId: randomUUID(),
    fingerprint: 'f'.repeat(64),
    holder: 'bench',
    atMs: Date.now(),
    bounds: {
      maxRecords: 10_000_000,
      maxAnswerBytes: 1_000_000,
      retentionMs: 86_400_000,
    },
  };
}

/** Returns the leader: the voter that applies a ledger look-up. */
async function findLeader(
  rpc: RpcClient,
  deployment: BenchDeployment,
): Promise<PeerAddress> {
  let leader: PeerAddress | undefined;
  await waitFor('a leader', async () => {
    for (const daemon of deployment.daemons) {
      const url = new URL(daemon.internalUrl);
      const peer = {address: url.hostname, port: Number(url.port)};
      const response = await rpc.call(
        peer,
        'ledger.peek',
        {key: 'x', fingerprint: 'x'},
        1_000,
      );
      if (
        response.isOk() &&
        (response.value as {kind: string}).kind === 'applied'
      )
        leader = peer;
    }
    return leader !== undefined;
  });
  return leader!;
}

async function commitClaim(rpc: RpcClient, leader: PeerAddress): Promise<void> {
  const response = await rpc.call(
    leader,
    'ledger.apply',
    claimCommand(randomUUID()),
    10_000,
  );
  const kind = response.isOk()
    ? (response.value as {kind: string}).kind
    : response.error.kind;
  if (kind !== 'applied')
    throw new Error(`a claim was not applied: the leader responded ${kind}`);
}

async function measureCommits(): Promise<object> {
  const deployment = await BenchDeployment.start({voters: 3, entries: 0});
  const rpc = new RpcClient(INTERNAL_KEY, 'bench', undefined);
  try {
    const leader = await findLeader(rpc, deployment);
    for (let round = 0; round < 200; round += 1) await commitClaim(rpc, leader);
    const fsync = await measureFsync(deployment.processes.folder);
    const lookUp = newHistogram();
    const commit = newHistogram();
    for (let round = 0; round < LATENCY_ROUNDS; round += 1) {
      await recordDuration(lookUp, () =>
        rpc.call(leader, 'ledger.peek', {key: 'x', fingerprint: 'x'}, 1_000),
      );
      await recordDuration(commit, () => commitClaim(rpc, leader));
    }
    const fsyncAfter = await measureFsync(deployment.processes.folder);
    const throughput = await measureThroughput(rpc, leader);
    const p50 = (quantileMs(fsync, 50) + quantileMs(fsyncAfter, 50)) / 2;
    const p99 = (quantileMs(fsync, 99) + quantileMs(fsyncAfter, 99)) / 2;
    return {
      bare_fsync_p50_ms: round(p50, 3),
      bare_fsync_p99_ms: round(p99, 3),
      call_without_commit_p50_ms: quantileMs(lookUp, 50),
      call_without_commit_p99_ms: quantileMs(lookUp, 99),
      commit_p50_ms: quantileMs(commit, 50),
      commit_p99_ms: quantileMs(commit, 99),
      commit_p50_over_fsync: round(quantileMs(commit, 50) / p50),
      commit_p99_over_fsync: round(quantileMs(commit, 99) / p99),
      claims_per_s: throughput,
    };
  } finally {
    await rpc.close();
    await deployment.close();
  }
}

async function measureThroughput(
  rpc: RpcClient,
  leader: PeerAddress,
): Promise<number> {
  const endAt = performance.now() + THROUGHPUT_SECONDS * 1_000;
  let count = 0;
  const worker = async () => {
    while (performance.now() < endAt) {
      await commitClaim(rpc, leader);
      count += 1;
    }
  };
  await Promise.all(Array.from({length: THROUGHPUT_IN_FLIGHT}, worker));
  return round(count / THROUGHPUT_SECONDS, 0);
}

/** Kills the leader and measures the time until another one commits a claim. */
async function measureFailover(): Promise<object> {
  const times: number[] = [];
  for (let round = 0; round < FAILOVERS; round += 1) {
    const deployment = await BenchDeployment.start({voters: 3, entries: 0});
    const rpc = new RpcClient(INTERNAL_KEY, 'bench', undefined);
    try {
      const leader = await findLeader(rpc, deployment);
      const killed = deployment.daemons.find(daemon =>
        daemon.internalUrl.endsWith(`:${leader.port}`),
      )!;
      const startedAt = performance.now();
      process.kill(killed.pid, 'SIGKILL');
      deployment.daemons.splice(deployment.daemons.indexOf(killed), 1);
      const newLeader = await findLeader(rpc, deployment);
      await commitClaim(rpc, newLeader);
      times.push((performance.now() - startedAt) / ELECTION_TIMEOUT_MS);
    } finally {
      await rpc.close();
      await deployment.close();
    }
  }
  times.sort((a, b) => a - b);
  return {
    kills: FAILOVERS,
    median_election_timeouts: round(times[Math.floor(times.length / 2)]!),
    most_election_timeouts: round(times.at(-1)!),
  };
}

/** Measures the time until a change is active on nine daemons. */
async function measureActivation(): Promise<object> {
  const deployment = await BenchDeployment.start({voters: 3, entries: 6});
  try {
    const histogram = newHistogram();
    for (let round = 0; round < CHANGES; round += 1) {
      await recordDuration(histogram, async () => {
        await deployment.applyChange({
          kind: 'zone',
          zone: 'zone-x',
          isOut: round % 2 === 0,
        });
        await deployment.waitUntilActive();
      });
    }
    return {
      daemons: 9,
      changes: CHANGES,
      in_force_p50_ms: quantileMs(histogram, 50),
      in_force_p99_ms: quantileMs(histogram, 99),
    };
  } finally {
    await deployment.close();
  }
}

/** Returns the bytes that a process read and wrote, sockets included. */
function readIoBytes(pid: number): number {
  const io = readFileSync(`/proc/${pid}/io`, 'utf8');
  const field = (name: string) =>
    Number(new RegExp(`${name}: (\\d+)`).exec(io)?.[1] ?? 0);
  return field('rchar') + field('wchar');
}

/** Cost of one daemon, as the mean over several. */
interface Cost {
  readonly bytesPerS: number;
  readonly coreShare: number;
  readonly residentMb: number;
}

/** Measures the cost of the processes over a window. */
async function measureCost(
  pids: readonly number[],
  seconds: number,
): Promise<Cost> {
  const sum = (read: (pid: number) => number) =>
    pids.reduce((total, pid) => total + read(pid), 0);
  const before = {
    bytes: sum(readIoBytes),
    cpu: sum(pid => readProcessUsage(pid).cpuSeconds),
  };
  await delay(seconds * 1_000);
  const bytes = sum(readIoBytes) - before.bytes;
  const cpu = sum(pid => readProcessUsage(pid).cpuSeconds) - before.cpu;
  const resident = sum(pid => readProcessUsage(pid).residentBytes);
  return {
    bytesPerS: round(bytes / seconds / pids.length, 0),
    coreShare: round(cpu / seconds / pids.length, 4),
    residentMb: round(resident / pids.length / 1_048_576, 0),
  };
}

/** Measures the cost of a daemon in a deployment of this size, idle and under changes. */
async function measureCostPerDaemon(daemons: number): Promise<object> {
  const settings = '[timing]\nheartbeat_ms = 1000';
  const deployment = await BenchDeployment.start({
    voters: 3,
    entries: daemons - 3,
    workspaces: 300,
    settings,
  });
  try {
    await delay(3_000);
    const entries = deployment.daemons.slice(3).map(daemon => daemon.pid);
    const voters = deployment.daemons.slice(0, 3).map(daemon => daemon.pid);
    const [idle, idleVoters] = await Promise.all([
      measureCost(entries, SLOPE_SECONDS),
      measureCost(voters, SLOPE_SECONDS),
    ]);
    const changing = applyChangesSteadily(deployment);
    const busy = await measureCost(entries, SLOPE_SECONDS);
    const changeCount = await changing;
    return {daemons, idle, idleVoters, changes_in_window: changeCount, busy};
  } finally {
    await deployment.close();
  }
}

/** Applies changes far above the daily rate, so that a short window shows their cost. */
async function applyChangesSteadily(
  deployment: BenchDeployment,
): Promise<number> {
  const CHANGES_IN_WINDOW = 30;
  const text = baseRules(300);
  for (let number = 0; number < CHANGES_IN_WINDOW; number += 1) {
    await deployment.applyRules(
      `${text}workspace extra key-sha256=${String(number).padStart(64, '0')} # bench: change\n`,
    );
    await delay((SLOPE_SECONDS * 1_000) / CHANGES_IN_WINDOW / 2);
  }
  return CHANGES_IN_WINDOW;
}

async function main(): Promise<void> {
  const commits = await measureCommits();
  const failover = await measureFailover();
  const force = await measureActivation();
  const slope: object[] = [];
  for (const daemons of SLOPE_DAEMONS)
    slope.push(await measureCostPerDaemon(daemons));
  const note = {
    changes_per_s_at_the_size_to_come: round(
      CHANGES_PER_DAY / SECONDS_PER_DAY,
      4,
    ),
  };
  process.stdout.write(
    `${JSON.stringify({commits, failover, force, slope, note}, null, 2)}\n`,
  );
}

await main();

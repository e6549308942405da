/**
 * npm run bench:control: the control group against the bare disk, in one run:
 * commit latency, group commit, failover, time to force, and the cost of a
 * daemon over the number of daemons.
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

async function timed(
  histogram: Histogram,
  run: () => Promise<unknown>,
): Promise<void> {
  const startedAt = performance.now();
  await run();
  histogram.recordValue(
    Math.round((performance.now() - startedAt) * MICROS_PER_MS),
  );
}

async function measureFsync(folder: string): Promise<Histogram> {
  const histogram = newHistogram();
  const handle = openSync(join(folder, 'bare-fsync'), 'a');
  const record = Buffer.alloc(RECORD_BYTES, 1);
  for (let round = 0; round < LATENCY_ROUNDS; round += 1) {
    await timed(histogram, async () => {
      writeSync(handle, record);
      fdatasyncSync(handle);
    });
  }
  closeSync(handle);
  return histogram;
}

function claim(key: string): object {
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

/** The voter that leads, by its answer to a look-up. */
async function findLeader(
  rpc: RpcClient,
  deployment: BenchDeployment,
): Promise<PeerAddress> {
  let leader: PeerAddress | undefined;
  await waitFor('a leader', async () => {
    for (const daemon of deployment.daemons) {
      const url = new URL(daemon.internalUrl);
      const peer = {address: url.hostname, port: Number(url.port)};
      const answer = await rpc.call(
        peer,
        'ledger.peek',
        {key: 'x', fingerprint: 'x'},
        1_000,
      );
      if (answer.isOk() && (answer.value as {kind: string}).kind === 'applied')
        leader = peer;
    }
    return leader !== undefined;
  });
  return leader!;
}

async function apply(rpc: RpcClient, leader: PeerAddress): Promise<void> {
  const answer = await rpc.call(
    leader,
    'ledger.apply',
    claim(randomUUID()),
    10_000,
  );
  const kind = answer.isOk()
    ? (answer.value as {kind: string}).kind
    : answer.error.kind;
  if (kind !== 'applied') throw new Error(`a claim was answered with ${kind}`);
}

async function measureCommits(): Promise<object> {
  const deployment = await BenchDeployment.start({voters: 3, entries: 0});
  const rpc = new RpcClient(INTERNAL_KEY, 'bench', undefined);
  try {
    const leader = await findLeader(rpc, deployment);
    for (let round = 0; round < 200; round += 1) await apply(rpc, leader);
    const fsync = await measureFsync(deployment.processes.folder);
    const lookUp = newHistogram();
    const commit = newHistogram();
    for (let round = 0; round < LATENCY_ROUNDS; round += 1) {
      await timed(lookUp, () =>
        rpc.call(leader, 'ledger.peek', {key: 'x', fingerprint: 'x'}, 1_000),
      );
      await timed(commit, () => apply(rpc, leader));
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
      await apply(rpc, leader);
      count += 1;
    }
  };
  await Promise.all(Array.from({length: THROUGHPUT_IN_FLIGHT}, worker));
  return round(count / THROUGHPUT_SECONDS, 0);
}

/** Kills the leader and waits until another one commits. */
async function measureFailover(): Promise<object> {
  const times: number[] = [];
  for (let round = 0; round < FAILOVERS; round += 1) {
    const deployment = await BenchDeployment.start({voters: 3, entries: 0});
    const rpc = new RpcClient(INTERNAL_KEY, 'bench', undefined);
    try {
      const leader = await findLeader(rpc, deployment);
      const victim = deployment.daemons.find(daemon =>
        daemon.internalUrl.endsWith(`:${leader.port}`),
      )!;
      const startedAt = performance.now();
      process.kill(victim.pid, 'SIGKILL');
      deployment.daemons.splice(deployment.daemons.indexOf(victim), 1);
      const next = await findLeader(rpc, deployment);
      await apply(rpc, next);
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

async function measureForce(): Promise<object> {
  const deployment = await BenchDeployment.start({voters: 3, entries: 6});
  try {
    const histogram = newHistogram();
    for (let round = 0; round < CHANGES; round += 1) {
      await timed(histogram, async () => {
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

/** Bytes that a process read and wrote, its sockets among them. */
function bytesMoved(pid: number): number {
  const io = readFileSync(`/proc/${pid}/io`, 'utf8');
  const field = (name: string) =>
    Number(new RegExp(`${name}: (\\d+)`).exec(io)?.[1] ?? 0);
  return field('rchar') + field('wchar');
}

interface Cost {
  readonly bytesPerS: number;
  readonly coreShare: number;
  readonly residentMb: number;
}

async function costOver(
  pids: readonly number[],
  seconds: number,
): Promise<Cost> {
  const sum = (read: (pid: number) => number) =>
    pids.reduce((total, pid) => total + read(pid), 0);
  const before = {
    bytes: sum(bytesMoved),
    cpu: sum(pid => readProcessUsage(pid).cpuSeconds),
  };
  await delay(seconds * 1_000);
  const bytes = sum(bytesMoved) - before.bytes;
  const cpu = sum(pid => readProcessUsage(pid).cpuSeconds) - before.cpu;
  const resident = sum(pid => readProcessUsage(pid).residentBytes);
  return {
    bytesPerS: round(bytes / seconds / pids.length, 0),
    coreShare: round(cpu / seconds / pids.length, 4),
    residentMb: round(resident / pids.length / 1_048_576, 0),
  };
}

async function measureSlope(daemons: number): Promise<object> {
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
      costOver(entries, SLOPE_SECONDS),
      costOver(voters, SLOPE_SECONDS),
    ]);
    const changing = changeSteadily(deployment);
    const busy = await costOver(entries, SLOPE_SECONDS);
    const made = await changing;
    return {daemons, idle, idleVoters, changes_in_window: made, busy};
  } finally {
    await deployment.close();
  }
}

/** Many times the daily rate, so that a short window shows its cost. */
async function changeSteadily(deployment: BenchDeployment): Promise<number> {
  const MADE = 30;
  const text = baseRules(300);
  for (let number = 0; number < MADE; number += 1) {
    await deployment.applyRules(
      `${text}workspace extra key-sha256=${String(number).padStart(64, '0')} # bench: change\n`,
    );
    await delay((SLOPE_SECONDS * 1_000) / MADE / 2);
  }
  return MADE;
}

async function main(): Promise<void> {
  const commits = await measureCommits();
  const failover = await measureFailover();
  const force = await measureForce();
  const slope: object[] = [];
  for (const daemons of SLOPE_DAEMONS) slope.push(await measureSlope(daemons));
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

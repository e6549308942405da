/**
 * Runs many random fault schedules against the consensus core.
 *
 *   npm run fuzz -- --from 1 --schedules 10000 [--json]
 */
import {availableParallelism} from 'node:os';
import {parseArgs} from 'node:util';
import {
  isMainThread,
  parentPort,
  Worker,
  workerData,
} from 'node:worker_threads';
import {fileURLToPath} from 'node:url';

const MAX_WORKERS = 6;
const MAX_FAILURES_SHOWN = 10;

function runRange(runSchedule, from, to) {
  const total = {schedules: 0, answered: 0, reads: 0, terms: 0, failures: []};
  for (let seed = from; seed <= to; seed += 1) {
    total.schedules += 1;
    try {
      const result = runSchedule(seed);
      total.answered += result.answered;
      total.reads += result.reads;
      total.terms += result.terms;
    } catch (error) {
      total.failures.push({seed, message: error.message});
    }
  }
  return total;
}

async function runWorker() {
  const {module, from, to} = workerData;
  const {runSchedule} = await import(module);
  parentPort.postMessage(runRange(runSchedule, from, to));
}

/** Distributes the seeds over worker threads and sums up their results. */
export async function fuzz(module, from, schedules) {
  const workers = Math.min(MAX_WORKERS, availableParallelism());
  const schedulesPerWorker = Math.ceil(schedules / workers);
  const results = await Promise.all(
    Array.from({length: workers}, (_, index) => {
      const first = from + index * schedulesPerWorker;
      const last = Math.min(from + schedules, first + schedulesPerWorker) - 1;
      const data = {module, from: first, to: last};
      return new Promise((resolve, reject) => {
        const worker = new Worker(fileURLToPath(import.meta.url), {
          workerData: data,
        });
        worker.once('message', resolve);
        worker.once('error', reject);
      });
    }),
  );
  const sum = key => results.reduce((total, result) => total + result[key], 0);
  return {
    schedules: sum('schedules'),
    answered: sum('answered'),
    reads: sum('reads'),
    terms: sum('terms'),
    failures: results.flatMap(result => result.failures),
  };
}

async function main() {
  const {values} = parseArgs({
    options: {
      from: {type: 'string', default: '1'},
      schedules: {type: 'string', default: '10000'},
      json: {type: 'boolean', default: false},
    },
  });
  const module = import.meta.resolve('@samphirefield/replication/fuzz');
  const from = Number(values.from);
  const result = await fuzz(module, from, Number(values.schedules));
  if (values.json) {
    console.log(JSON.stringify({from, ...result}));
  } else {
    const {schedules, answered, reads, terms, failures} = result;
    console.log(
      `seeds ${from} to ${from + schedules - 1}: ${answered} commands answered, ${reads} reads under the lease, ${terms} terms with a leader, ${failures.length} failures`,
    );
    for (const {seed, message} of failures.slice(0, MAX_FAILURES_SHOWN))
      console.log(`seed ${seed}: ${message}`);
  }
  process.exitCode = result.failures.length === 0 ? 0 : 1;
}

if (!isMainThread) await runWorker();
else if (process.argv[1] === fileURLToPath(import.meta.url)) await main();

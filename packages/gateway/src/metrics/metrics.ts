/** Prometheus metrics of the gateway: counters, latencies and gauges. */
import {Counter, Gauge, Histogram, type Registry} from 'prom-client';

const PREFIX = 'samphirefield_';
const LATENCY_BUCKETS_S = [
  0.01, 0.025, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 20, 40,
];
const MS_PER_S = 1_000;

/** A request that has ended, with its outcome and durations. */
export interface RequestSummary {
  readonly outcome: string;
  readonly status: number;
  readonly service: string | undefined;
  readonly durationMs: number;
  readonly waitedMs: number;
  readonly attempts: number;
  readonly moves: number;
  readonly resumes: number;
}

/** Called with the summary of a request that has ended. */
export type RequestObserver = (summary: RequestSummary) => void;

export function createRequestObserver(registry: Registry): RequestObserver {
  const registers = [registry];
  const requests = new Counter({
    name: `${PREFIX}requests_total`,
    help: 'Requests by outcome and status; status 0: closed without a complete response',
    labelNames: ['outcome', 'status'],
    registers,
  });
  const latency = new Histogram({
    name: `${PREFIX}request_seconds`,
    help: 'Time from the head of a request to its end',
    labelNames: ['service'],
    buckets: LATENCY_BUCKETS_S,
    registers,
  });
  const waiting = new Histogram({
    name: `${PREFIX}place_wait_seconds`,
    help: 'Time that a request waited for reservations of targets',
    labelNames: ['service'],
    buckets: LATENCY_BUCKETS_S,
    registers,
  });
  const attempts = new Counter({
    name: `${PREFIX}sendings_total`,
    help: 'Attempts to send requests to targets',
    registers,
  });
  const moves = new Counter({
    name: `${PREFIX}moves_total`,
    help: 'Times that a generation resumed after a move or a broken connection',
    registers,
  });
  const resumes = new Counter({
    name: `${PREFIX}resumes_total`,
    help: 'Times that a started stream ran again from its last event',
    registers,
  });
  return summary => {
    const service = summary.service ?? 'none';
    requests.inc({outcome: summary.outcome, status: summary.status});
    latency.observe({service}, summary.durationMs / MS_PER_S);
    waiting.observe({service}, summary.waitedMs / MS_PER_S);
    attempts.inc(summary.attempts);
    moves.inc(summary.moves);
    resumes.inc(summary.resumes);
  };
}

/** Called with the end of a hop to another entry, or of one from another. */
export type RelayObserver = (outcome: string) => void;

export function createRelayObserver(registry: Registry): RelayObserver {
  const relays = new Counter({
    name: `${PREFIX}relays_total`,
    help: 'Requests relayed to another entry by outcome; accepted, declined: relayed by another entry to this one',
    labelNames: ['outcome'],
    registers: [registry],
  });
  return outcome => relays.inc({outcome});
}

/** Called with the end of an attempt on a target of a version. */
export type VersionEndObserver = (
  service: string,
  version: string | undefined,
  end: string,
) => void;

export function createVersionObserver(registry: Registry): VersionEndObserver {
  const runs = new Counter({
    name: `${PREFIX}version_runs_total`,
    help: 'Attempts on targets by service, version of the target and end: sound, bad or void',
    labelNames: ['service', 'version', 'end'],
    registers: [registry],
  });
  return (service, version = 'none', end) => runs.inc({service, version, end});
}

/** Registers gauges whose values are read at each scrape. */
export function registerGauges(
  registry: Registry,
  read: () => Readonly<Record<string, number>>,
): void {
  for (const name of Object.keys(read())) {
    new Gauge({
      name: PREFIX + name,
      help: name.replaceAll('_', ' '),
      registers: [registry],
      collect() {
        this.set(read()[name] ?? 0);
      },
    });
  }
}

/** Registers gauges with a value for each priority, read at each scrape. */
export function registerPriorityGauges(
  registry: Registry,
  read: () => Readonly<Record<string, ReadonlyMap<number, number>>>,
): void {
  for (const name of Object.keys(read())) {
    new Gauge({
      name: PREFIX + name,
      help: name.replaceAll('_', ' '),
      labelNames: ['priority'],
      registers: [registry],
      collect() {
        this.reset();
        for (const [priority, value] of read()[name] ?? []) {
          this.set({priority}, value);
        }
      },
    });
  }
}

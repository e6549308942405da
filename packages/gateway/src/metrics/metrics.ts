/** Counters and latencies of the gateway, for a Prometheus scraper. */
import {Counter, Gauge, Histogram, type Registry} from 'prom-client';

const PREFIX = 'samphirefield_';
const LATENCY_BUCKETS_S = [
  0.01, 0.025, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 20, 40,
];
const MS_PER_S = 1_000;

/** How one request ended. */
export interface RequestSummary {
  readonly outcome: string;
  readonly status: number;
  readonly service: string | undefined;
  readonly durationMs: number;
  readonly waitedMs: number;
  readonly attempts: number;
  readonly moves: number;
}

export type RequestObserver = (end: RequestSummary) => void;

export function createRequestObserver(registry: Registry): RequestObserver {
  const registers = [registry];
  const requests = new Counter({
    name: `${PREFIX}requests_total`,
    help: 'Requests by outcome and status; status 0: broken off',
    labelNames: ['outcome', 'status'],
    registers,
  });
  const latency = new Histogram({
    name: `${PREFIX}request_seconds`,
    help: 'From the head of a request to its end',
    labelNames: ['service'],
    buckets: LATENCY_BUCKETS_S,
    registers,
  });
  const waiting = new Histogram({
    name: `${PREFIX}place_wait_seconds`,
    help: 'Time that a request waited for places on targets',
    labelNames: ['service'],
    buckets: LATENCY_BUCKETS_S,
    registers,
  });
  const sendings = new Counter({
    name: `${PREFIX}sendings_total`,
    help: 'Sendings of requests to targets',
    registers,
  });
  const moves = new Counter({
    name: `${PREFIX}moves_total`,
    help: 'Times that a generation went on at another target',
    registers,
  });
  return end => {
    const service = end.service ?? 'none';
    requests.inc({outcome: end.outcome, status: end.status});
    latency.observe({service}, end.durationMs / MS_PER_S);
    waiting.observe({service}, end.waitedMs / MS_PER_S);
    sendings.inc(end.attempts);
    moves.inc(end.moves);
  };
}

/** Gauges whose values are read when the scraper asks. */
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

/** The Prometheus metrics of a daemon; metric names contain their units. */
import {
  collectDefaultMetrics,
  Counter,
  Gauge,
  Histogram,
  Registry,
} from 'prom-client';

const SECONDS_BUCKETS = [0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2, 5, 15, 60];

export interface MetricSources {
  readonly activeRunCount: () => number;
  readonly waitingCount: () => number;
  readonly configRevision: () => number;
  readonly leaseRemainingMs: () => number;
}

export function createMetrics(sources: MetricSources) {
  const registry = new Registry();
  const registers = [registry];
  const gauge = (name: string, help: string, read: () => number) =>
    new Gauge({
      name,
      help,
      registers,
      collect() {
        this.set(read());
      },
    });
  gauge(
    'samphirefield_open_requests',
    'Requests in progress on targets',
    sources.activeRunCount,
  );
  gauge(
    'samphirefield_waiting_requests',
    'Requests waiting for a target',
    sources.waitingCount,
  );
  gauge(
    'samphirefield_config_revision',
    'Revision of the configuration that is active on this entry',
    sources.configRevision,
  );
  gauge(
    'samphirefield_view_lease_seconds',
    'Time until the view lease expires',
    () => sources.leaseRemainingMs() / 1_000,
  );
  const tokensByService = new Map<string, number>();
  new Counter({
    name: 'samphirefield_tokens_total',
    help: 'Events forwarded to callers',
    labelNames: ['service'],
    registers,
    collect() {
      this.reset();
      for (const [service, count] of tokensByService) {
        this.inc({service}, count);
      }
    },
  });
  collectDefaultMetrics({register: registry});
  return {
    registry,
    /** Adds a gauge for each name in the function's result. */
    addAccount: (read: () => Readonly<Record<string, number>>) => {
      for (const name of Object.keys(read())) {
        const help = name.replaceAll('_', ' ');
        gauge(`samphirefield_${name}`, help, () => read()[name] ?? 0);
      }
    },
    requests: new Counter({
      name: 'samphirefield_requests_total',
      help: 'Requests with a response, by status',
      labelNames: ['service', 'status'],
      registers,
    }),
    /** Adds to the tokens of a service; cheap enough for every event. */
    countTokens: (service: string, count: number) => {
      tokensByService.set(service, (tokensByService.get(service) ?? 0) + count);
    },
    retries: new Counter({
      name: 'samphirefield_retries_total',
      help: 'Retries on another target',
      labelNames: ['service'],
      registers,
    }),
    resumes: new Counter({
      name: 'samphirefield_resumes_total',
      help: 'Generations resumed on a new connection',
      labelNames: ['service'],
      registers,
    }),
    firstByte: new Histogram({
      name: 'samphirefield_first_byte_seconds',
      help: 'Time from the request to the first byte of its response',
      labelNames: ['service'],
      buckets: SECONDS_BUCKETS,
      registers,
    }),
  };
}

export type Metrics = ReturnType<typeof createMetrics>;

/**
 * npm run bench:dispatcher: measures what an arrival, a release and a tick (at
 * the leader every 250 ms) cost the gateway's dispatcher at growing numbers of
 * targets and waiting demands.
 */
import {
  instanceId,
  requestId,
  serviceId,
  targetId,
  workspaceId,
  zoneId,
} from '@samphirefield/core';
import {Dispatcher, type Demand} from '@samphirefield/gateway';

const SERVICE = serviceId('engines');
const SLOTS = 24;
const KV_TOKENS = 27_000;
const RUN_KV_TOKENS = 3_500;
const RUNS_PER_TARGET = Math.floor(KV_TOKENS / RUN_KV_TOKENS);
const WORKSPACES = 100;
const PRIORITIES = 3;
const CALLS = 300;
const TICKS = 40;
const MICROS_PER_MS = 1_000;
const SIZES: ReadonlyArray<readonly [targets: number, waiting: number]> = [
  [44, 100],
  [300, 1_000],
  [2_100, 1_000],
  [2_100, 10_000],
];

function demand(number: number): Demand {
  return {
    request: requestId(`r${number}`),
    service: SERVICE,
    entry: instanceId(`e${number % 550}`),
    zone: zoneId('a'),
    otherZonePenalty: 0.06,
    kvTokens: RUN_KV_TOKENS,
    prefillTokens: 3_000,
    isRunning: false,
    priority: number % PRIORITIES,
    workspace: workspaceId(`w${number % WORKSPACES}`),
    inTimeMs: 1e9,
    patienceMs: 1e9,
    noTargetWaitMs: 1e9,
    maxWaitMs: 1e9,
    excluded: [],
  };
}

function createFilled(
  targets: number,
  share: number,
  usesAdmission: boolean,
): Dispatcher {
  const dispatcher = new Dispatcher({
    usesAdmission,
    onResult: () => undefined,
    share: () => 1,
    random: Math.random,
  });
  dispatcher.configure(
    [{service: SERVICE, kvTokens: KV_TOKENS, coldRequestsPerS: 0}],
    new Set(),
  );
  for (let i = 0; i < targets; i += 1) {
    const announcement = {
      id: targetId(`t${i}`),
      bornMs: 1,
      sequence: 1,
      service: SERVICE,
      host: `h${i}`,
      port: 1,
      zone: zoneId('a'),
      slots: SLOTS,
      state: 'ready' as const,
      coldLeftMs: 0,
    };
    const record = {announcement, lastSeenAtMs: 0, coldUntilMs: 0};
    dispatcher.setTarget(record, false, 0);
    const runs = Math.floor(RUNS_PER_TARGET * share);
    for (let run = 0; run < runs; run += 1) {
      dispatcher.recordRun({
        request: requestId(`held-${i}-${run}`),
        entry: instanceId('e1'),
        target: announcement.id,
        kvTokens: RUN_KV_TOKENS,
      });
    }
  }
  return dispatcher;
}

function microsPerCall(run: (call: number) => void): number {
  const startedAt = performance.now();
  for (let call = 0; call < CALLS; call += 1) run(call);
  const micros = ((performance.now() - startedAt) * MICROS_PER_MS) / CALLS;
  return Number(micros.toFixed(1));
}

function measure(
  targets: number,
  waiting: number,
  usesAdmission: boolean,
): object {
  const free = createFilled(targets, 0.5, usesAdmission);
  const placed = microsPerCall(call => free.acquire(demand(call), call));
  const full = createFilled(targets, 1, usesAdmission);
  for (let i = 0; i < waiting; i += 1) full.acquire(demand(i), 0);
  const queued = microsPerCall(call =>
    full.acquire(demand(waiting + call), call),
  );
  const released = microsPerCall(call =>
    full.release(requestId(`held-${call % targets}-0`), 'served', call),
  );
  const startedAt = performance.now();
  for (let call = 0; call < TICKS; call += 1) full.dispatchPending(call);
  const tickMs = (performance.now() - startedAt) / TICKS;
  return {
    order: usesAdmission ? 'admission' : 'arrival',
    targets,
    waiting,
    placed_us: placed,
    queued_us: queued,
    release_us: released,
    tick_ms: Number(tickMs.toFixed(2)),
  };
}

// Warm-up, so that compilation of the code is not measured.
for (const usesAdmission of [false, true]) measure(...SIZES[1]!, usesAdmission);
console.table(
  [false, true].flatMap(usesAdmission =>
    SIZES.map(([targets, waiting]) => measure(targets, waiting, usesAdmission)),
  ),
);

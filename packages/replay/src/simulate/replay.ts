/** Replays a trace under one policy in virtual time. */
import {createRandom} from '@samphirefield/replication/fuzz';
import type {Trace, TraceEvent, TraceLine} from '../trace/index.js';
import {leastReportedLoad, powerOfTwo, roundRobin} from './baselines.js';
import {EngineFleet} from './engines.js';
import {EventQueue} from './event-queue.js';
import {Recorder, type ReplayFigures} from './recorder.js';
import type {SimulatedRequest, Router, RouterFactory} from './router.js';
import {samphirefield} from './samphirefield.js';

export type PolicyName =
  'round_robin' | 'least_load' | 'power_of_two' | 'samphirefield';

export const POLICIES: Readonly<Record<PolicyName, RouterFactory>> = {
  round_robin: roundRobin,
  least_load: leastReportedLoad,
  power_of_two: powerOfTwo,
  samphirefield,
};

/** Time allowed after the trace for open requests to complete. */
const DRAIN_MS = 900_000;
/** Time after its return during which a zone counts as coming back. */
const ZONE_SETTLE_MS = 20_000;

/** Returns whether a time lies between a zone's outage and the end of its return. */
function zoneWindow(trace: Trace): (atMs: number) => boolean {
  const out = trace.lines.find(line => line.kind === 'zone_out')?.at_ms;
  const back = trace.lines.find(line => line.kind === 'zone_back')?.at_ms;
  if (out === undefined) return () => false;
  const endMs = (back ?? Infinity) + ZONE_SETTLE_MS;
  return atMs => atMs >= out && atMs <= endMs;
}

/** Lets the scheduler's promises settle before virtual time advances. */
async function settle(): Promise<void> {
  const MICROTASK_ROUNDS = 4;
  for (let round = 0; round < MICROTASK_ROUNDS; round += 1)
    await Promise.resolve();
}

/**
 * Replays a trace and returns its figures. Requests that are still open 15 minutes
 * (virtual time) after the end of the trace count as lost.
 */
export async function replay(
  trace: Trace,
  policy: PolicyName,
  seed: number,
): Promise<ReplayFigures> {
  const events = new EventQueue();
  const recorder = new Recorder(trace.head.duration_ms, zoneWindow(trace));
  const random = createRandom(seed);
  let router: Router | undefined = undefined;
  const fleet = new EngineFleet(trace.head.targets, events, {
    onToken: (id, atMs) => {
      recorder.recordToken(id, atMs);
      router?.onToken(id);
    },
    onFinished: (id, atMs) => {
      recorder.recordFinish(id, atMs);
      router?.onFinished(id);
    },
    onReport: engine => router?.onReport(engine),
  });
  const submit = (request: SimulatedRequest, target: string) => {
    const {arrival} = request;
    fleet.submit(target, {
      id: request.id,
      promptTokens: arrival.prompt_tokens,
      outputTokens: arrival.output_tokens,
      priority: arrival.priority,
      prefix: arrival.prefix,
    });
  };
  router = POLICIES[policy](
    {
      nowMs: () => events.nowMs,
      schedule: (atMs, run) => events.schedule(atMs, run),
      engines: fleet.engines,
      submit,
      shed: request => recorder.recordShed(request.id),
      randomBelow: random.below,
    },
    trace.head.entries,
  );
  scheduleLines(trace, events, fleet, router, recorder);
  while (events.step(trace.head.duration_ms)) await settle();
  let steps = 0;
  const STEPS_PER_DRAIN_CHECK = 5_000;
  while (events.step(trace.head.duration_ms + DRAIN_MS)) {
    await settle();
    steps += 1;
    if (steps % STEPS_PER_DRAIN_CHECK === 0 && recorder.isDrained) break;
  }
  const engines = [...fleet.engines.values()];
  const preemptions = engines.reduce(
    (sum, engine) => sum + engine.state.preemptions,
    0,
  );
  const aboveBearing = engines.reduce(
    (sum, engine) => sum + engine.timesOverCapacity,
    0,
  );
  return recorder.figures(preemptions, aboveBearing);
}

function scheduleLines(
  trace: Trace,
  events: EventQueue,
  fleet: EngineFleet,
  router: Router,
  recorder: Recorder,
): void {
  trace.lines.forEach((line: TraceLine, position) => {
    events.schedule(line.at_ms, () => {
      if (line.kind !== 'arrival') {
        applyEvent(line, fleet, router);
        return;
      }
      const request: SimulatedRequest = {id: `job-${position}`, arrival: line};
      recorder.recordArrival(request);
      router.onArrival(request);
    });
  });
}

function applyEvent(
  event: TraceEvent,
  fleet: EngineFleet,
  router: Router,
): void {
  if (event.kind === 'turned_cold') fleet.turnCold(event.target);
  if (event.kind === 'zone_back') {
    // Engines of a zone that was out come back cold and with an empty prefix
    // cache.
    for (const engine of fleet.engines.values()) {
      if (engine.spec.zone === event.zone) fleet.turnCold(engine.spec.target);
    }
  }
  router.onEvent(event);
}

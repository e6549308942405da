/**
 * The baseline policies: each submits a request immediately to a target in a
 * zone that is not out, and leaves queueing to the engine.
 */
import type {SimulatedEngine} from './engines.js';
import type {
  SimulatedRequest,
  Router,
  RouterFactory,
  RouterHost,
} from './router.js';

type ChooseEngine = (
  engines: readonly SimulatedEngine[],
  host: RouterHost,
) => SimulatedEngine;

function createBaseline(host: RouterHost, chooseEngine: ChooseEngine): Router {
  const outZones = new Set<string>();
  return {
    onArrival: (request: SimulatedRequest) => {
      const usable = [...host.engines.values()].filter(
        engine =>
          engine.spec.service === request.arrival.service &&
          !outZones.has(engine.spec.zone),
      );
      if (usable.length === 0) host.shed(request);
      else host.submit(request, chooseEngine(usable, host).spec.target);
    },
    onToken: () => undefined,
    onFinished: () => undefined,
    onReport: () => undefined,
    onEvent: event => {
      if (event.kind === 'zone_out') outZones.add(event.zone);
      if (event.kind === 'zone_back') outZones.delete(event.zone);
    },
  };
}

/** Returns the greater share of the engine's slots and KV cache in use. */
function reportedLoad(engine: SimulatedEngine): number {
  const {report, spec} = engine;
  return Math.max(
    report.running / spec.slots,
    report.kvUsedTokens / spec.kv_tokens,
  );
}

function lessLoaded(
  left: SimulatedEngine,
  right: SimulatedEngine,
): SimulatedEngine {
  return reportedLoad(right) < reportedLoad(left) ? right : left;
}

export const roundRobin: RouterFactory = host => {
  let next = 0;
  return createBaseline(host, engines => {
    next += 1;
    return engines[next % engines.length]!;
  });
};

export const leastReportedLoad: RouterFactory = host =>
  createBaseline(host, engines => engines.reduce(lessLoaded));

export const powerOfTwo: RouterFactory = host =>
  createBaseline(host, (engines, {randomBelow}) =>
    lessLoaded(
      engines[randomBelow(engines.length)]!,
      engines[randomBelow(engines.length)]!,
    ),
  );
